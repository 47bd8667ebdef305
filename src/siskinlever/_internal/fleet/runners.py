"""The known runners and their states, merged from the store and other hosts."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from ..logs.lines import LogLines
from ..models.ids import RunnerName, ServiceName
from ..models.upstreams import Registration, RunnerKey
from ..utils.clock import monotonic

# Runners that are gone are kept longer than the store's history, so that an old
# registration does not make them usable again.
GONE_RETENTION_S = 60.0


class RunnerState(Enum):
    """State of a runner; runners in `USABLE_STATES` may get new requests."""

    READY = "ready"
    DRAINING = "draining"
    # The registration is missing, possibly because of an outage of the store.
    LAPSED = "lapsed"
    GONE = "gone"


USABLE_STATES = frozenset({RunnerState.READY, RunnerState.LAPSED})
STORE = "store"
# Maps (current state, requested state, whether draining was announced) to the next
# state, where that differs from the requested state.
NEXT_STATE = {
    (RunnerState.GONE, RunnerState.DRAINING, True): RunnerState.GONE,
    (RunnerState.GONE, RunnerState.READY, True): RunnerState.GONE,
    (RunnerState.GONE, RunnerState.LAPSED, True): RunnerState.GONE,
    (RunnerState.GONE, RunnerState.LAPSED, False): RunnerState.GONE,
    (RunnerState.DRAINING, RunnerState.READY, True): RunnerState.DRAINING,
    (RunnerState.DRAINING, RunnerState.LAPSED, True): RunnerState.DRAINING,
}


@dataclass(slots=True)
class KnownRunner:
    """One process of a runner and its last known state.

    Parameters
    ----------
    registration : Registration
        The newest registration.
    state : RunnerState
    since : float
        Monotonic time of the latest change of ``state``.
    drain_announced : bool
        Whether the process announced that it is draining. It then gets no more
        requests, whatever registrations of it follow.
    """

    registration: Registration
    state: RunnerState
    since: float
    drain_announced: bool = False


class RunnerDirectory:
    """All known runners, by process.

    Parameters
    ----------
    lapse_recovery_s : float
        Seconds after an outage of the store during which a runner stays usable
        although its registration is missing.
    log : LogLines
    """

    def __init__(self, lapse_recovery_s: float, log: LogLines) -> None:
        self._lapse_recovery_s = lapse_recovery_s
        self._log = log
        self.by_key: dict[RunnerKey, KnownRunner] = {}
        self._removal_listeners: list[Callable[[RunnerKey], None]] = []

    def on_removal(self, listener: Callable[[RunnerKey], None]) -> None:
        """Call ``listener`` with each process that has been gone for long."""
        self._removal_listeners.append(listener)

    def usable(self, service: ServiceName) -> list[Registration]:
        """Return the runners of a service that may get requests."""
        return [
            runner.registration
            for runner in self.by_key.values()
            if runner.state in USABLE_STATES and runner.registration.service == service
        ]

    def known(self, service: ServiceName) -> list[Registration]:
        """Return all processes of a service, also those that left recently."""
        return [
            runner.registration
            for runner in self.by_key.values()
            if runner.registration.service == service
        ]

    def is_usable(self, key: RunnerKey) -> bool:
        """Return whether a process may get requests."""
        runner = self.by_key.get(key)
        return runner is not None and runner.state in USABLE_STATES

    def is_replaced(self, runner: Registration, since: float) -> bool:
        """Return whether another process has registered at a runner's address.

        Parameters
        ----------
        runner : Registration
        since : float
            Monotonic time from which registrations count.
        """
        return any(
            key != runner.key
            and known.registration.address == runner.address
            and known.since >= since
            for key, known in self.by_key.items()
        )

    def recently_unusable(self, within_s: float) -> list[KnownRunner]:
        """Return the processes that changed to `DRAINING` or `GONE` recently.

        Parameters
        ----------
        within_s : float
            Maximum seconds since the change of state.
        """
        since = monotonic() - within_s
        return [
            runner
            for runner in self.by_key.values()
            if runner.state not in USABLE_STATES and runner.since >= since
        ]

    def replace_all(
        self, registrations: Iterable[Registration], outage_ended_at: float
    ) -> None:
        """Update the directory from a complete listing of the store.

        Parameters
        ----------
        registrations : iterable of Registration
        outage_ended_at : float
            Monotonic time at which the last outage of the store ended; -inf means
            that there was none.
        """
        registered_keys = set()
        for registration in registrations:
            registered_keys.add(registration.key)
            self._register(registration, STORE)
        now = monotonic()
        recovering = now - outage_ended_at <= self._lapse_recovery_s
        missing_state = RunnerState.LAPSED if recovering else RunnerState.GONE
        for key, runner in self.by_key.items():
            if key not in registered_keys and runner.state is not RunnerState.GONE:
                self._set_state(runner, missing_state, "not registered")
        self._remove_expired(now)

    def add_known(self, registrations: Iterable[Registration]) -> None:
        """Merge registrations from another host; missing ones have no effect."""
        for registration in registrations:
            self._register(registration, "peer")

    def mark_draining(self, name: RunnerName, started_at: int, source: str) -> None:
        """Apply another host's report that a process announced that it is draining."""
        for key, runner in self.by_key.items():
            if key.name == name and key.started_at == started_at:
                self._set_state(runner, RunnerState.DRAINING, source)

    def mark_gone(
        self, name: RunnerName, started_at: int, sequence: int, source: str
    ) -> None:
        """Apply another host's report that a registration was removed.

        Parameters
        ----------
        name, started_at
            Identify the process.
        sequence : int
            Sequence number of the latest registration that the other host has
            read; the report is ignored if a newer registration is known here.
        source : str
            The other host, for the log.
        """
        for key, runner in self.by_key.items():
            is_same_process = key.name == name and key.started_at == started_at
            if is_same_process and runner.registration.sequence <= sequence:
                self._set_state(runner, RunnerState.GONE, source)

    def mark_replaced(self, key: RunnerKey) -> None:
        """Mark a process as gone because another runner answers at its address."""
        runner = self.by_key.get(key)
        if runner is not None:
            self._set_state(runner, RunnerState.GONE, "another runner at its address")

    def _register(self, registration: Registration, source: str) -> None:
        key = registration.key
        known = self.by_key.get(key)
        state = RunnerState.DRAINING if registration.draining else RunnerState.READY
        if known is None:
            self._retire_predecessors(key)
            self.by_key[key] = KnownRunner(registration, state, monotonic())
            self.by_key[key].drain_announced = registration.draining
            self._log_change(key, None, state, registration, source)
            return
        if registration.sequence > known.registration.sequence:
            known.registration = registration
            self._set_state(known, state, source)
        elif known.state is RunnerState.LAPSED and source == STORE:
            # In other states, or if another host has read it, a registration has an
            # effect only if it is newer or draining.
            self._set_state(known, state, source)
        elif registration.draining:
            self._set_state(known, state, source)

    def _retire_predecessors(self, key: RunnerKey) -> None:
        for other, runner in self.by_key.items():
            if other.name == key.name and other.started_at < key.started_at:
                self._set_state(runner, RunnerState.GONE, "restarted")

    def _set_state(self, runner: KnownRunner, state: RunnerState, source: str) -> None:
        if state is RunnerState.DRAINING:
            runner.drain_announced = True
        state = NEXT_STATE.get((runner.state, state, runner.drain_announced), state)
        if runner.state is state:
            return
        registration = runner.registration
        self._log_change(registration.key, runner.state, state, registration, source)
        runner.state = state
        runner.since = monotonic()

    def _remove_expired(self, now: float) -> None:
        for key, runner in list(self.by_key.items()):
            if (
                runner.state is RunnerState.GONE
                and now - runner.since > GONE_RETENTION_S
            ):
                del self.by_key[key]
                for listener in self._removal_listeners:
                    listener(key)

    def _log_change(
        self,
        key: RunnerKey,
        before: RunnerState | None,
        after: RunnerState,
        registration: Registration,
        source: str,
    ) -> None:
        self._log.write(
            "runner.state",
            runner=key.name,
            started_at=key.started_at,
            service=registration.service,
            address=registration.address,
            stage=registration.stage.value if registration.stage else None,
            version=registration.version,
            sequence=registration.sequence,
            before=before.value if before else None,
            after=after.value,
            source=source,
        )
