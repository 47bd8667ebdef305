"""Liveness, status and work in progress of the other hosts."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Set
from dataclasses import dataclass, field, replace

from ..logs.lines import LogLines
from ..models.ids import HostName, Incarnation, ServiceName, ZoneName
from ..models.upstreams import Address, RunnerKey
from ..stages.switching import StageSwitch
from ..utils.clock import monotonic
from .demand import Demand

# Seconds without contact after which a host counts as lost. Hosts exchange their
# state about once a second, so one lost exchange is tolerated.
LOST_AFTER_S = 2.8
# Seconds without contact after which a host that did not answer a call counts as
# lost. Callers and new hosts are then no longer directed to it.
SUSPECT_LOST_AFTER_S = 1.2
# Seconds for which a host without contact is still called before it is removed.
HOST_RETENTION_S = 30.0


@dataclass(frozen=True, slots=True)
class RunnerLoad:
    """One host's work in progress at one runner.

    Parameters
    ----------
    requests : int
    decode_tokens : int
        KV cache, in tokens, that its requests are expected to occupy when they
        finish.
    prefill_tokens : int
        Prompt tokens that wait for prefill or are in prefill.
    """

    requests: int = 0
    decode_tokens: int = 0
    prefill_tokens: int = 0

    @property
    def is_at_engine(self) -> bool:
        """Whether it contains generations or prompts, which only engines process."""
        return bool(self.decode_tokens or self.prefill_tokens)


@dataclass(frozen=True, slots=True)
class HostStatus:
    """Status that a host reports about itself.

    Parameters
    ----------
    host, zone : str
    incarnation : int
        Start time of its process, in Unix milliseconds.
    callers_address, peers_address : str
    serving : bool
        Whether it has a configuration and is not shutting down.
    reads_store : bool
        Whether its calls to the store succeed.
    holds_orders : bool
        Whether it holds the lease for sending stage orders.
    cores : float
        Processor capacity.
    """

    host: HostName
    zone: ZoneName
    incarnation: Incarnation
    callers_address: Address
    peers_address: Address
    serving: bool
    reads_store: bool = False
    holds_orders: bool = False
    cores: float = 1.0


@dataclass(frozen=True, slots=True)
class HostWork:
    """A host's work in progress.

    Parameters
    ----------
    load_by_runner : dict of RunnerKey to RunnerLoad
    demand_by_service : dict of ServiceName to Demand
    switch_by_runner : dict of RunnerKey to StageSwitch
        Stage changes that the host has ordered and that are not complete.
    unreachable : frozenset of RunnerKey
        Runners to which a call of the host recently failed.
    engine_changes : int
        Number of changes of its loads at engines since it started.
    """

    load_by_runner: Mapping[RunnerKey, RunnerLoad] = field(default_factory=dict)
    demand_by_service: Mapping[ServiceName, Demand] = field(default_factory=dict)
    switch_by_runner: Mapping[RunnerKey, StageSwitch] = field(default_factory=dict)
    unreachable: frozenset[RunnerKey] = frozenset()
    engine_changes: int = 0

    def with_engine_loads(
        self, loads: Mapping[RunnerKey, RunnerLoad], engine_changes: int
    ) -> HostWork:
        """Return a copy with the loads at engines replaced."""
        plain = {
            runner: load
            for runner, load in self.load_by_runner.items()
            if not load.is_at_engine
        }
        return replace(
            self, load_by_runner={**plain, **loads}, engine_changes=engine_changes
        )


@dataclass(slots=True)
class KnownHost:
    """The last known state of another host and when it was received."""

    status: HostStatus
    work: HostWork
    last_seen_at: float
    lost_after_s: float
    is_suspect: bool = False

    @property
    def is_alive(self) -> bool:
        """Whether its state is recent; the time limit is shorter if it is suspect."""
        limit_s = SUSPECT_LOST_AFTER_S if self.is_suspect else self.lost_after_s
        return monotonic() - self.last_seen_at <= limit_s


class HostTable:
    """The last known states of all other hosts.

    Parameters
    ----------
    own_host : str
    log : LogLines
    """

    def __init__(self, own_host: HostName, log: LogLines) -> None:
        self._own_host = own_host
        self._log = log
        self.by_host: dict[HostName, KnownHost] = {}
        self._alive: set[HostName] = set()
        # In a large fleet, grows with the time between exchanges.
        self.lost_after_s = LOST_AFTER_S

    def update_host(
        self, status: HostStatus, work: HostWork, lost_after_s: float | None = None
    ) -> None:
        """Store a state sent by another host.

        A state of an earlier incarnation than the known one is ignored.

        Parameters
        ----------
        status : HostStatus
        work : HostWork
        lost_after_s : float or None
            Seconds without contact after which the host counts as lost; the table's
            value if None.
        """
        known = self.by_host.get(status.host)
        if status.host == self._own_host:
            return
        if known and known.status.incarnation > status.incarnation:
            return
        if known is None or known.status.serving != status.serving:
            self._log.write("host.status", of=status.host, serving=status.serving)
        is_same = known and known.status.incarnation == status.incarnation
        if known and is_same and known.work.engine_changes > work.engine_changes:
            # A newer load update arrived before this state.
            latest_work = known.work
            work = work.with_engine_loads(
                engine_loads(latest_work.load_by_runner), latest_work.engine_changes
            )
        self.by_host[status.host] = KnownHost(
            status, work, monotonic(), lost_after_s or self.lost_after_s
        )
        self.refresh_liveness()

    def extend_lost_after(self, lost_after_s: float, excepted: Set[Address]) -> None:
        """Let hosts count as lost later, except those at some peer addresses."""
        for known in self.by_host.values():
            if known.status.peers_address not in excepted:
                known.lost_after_s = lost_after_s

    def update_engine_loads(
        self,
        host: HostName,
        incarnation: Incarnation,
        engine_changes: int,
        loads: Mapping[RunnerKey, RunnerLoad],
    ) -> None:
        """Replace a known host's loads at engines if the update is newer.

        Updates of another incarnation are ignored.
        """
        known = self.by_host.get(host)
        if known is None or known.status.incarnation != incarnation:
            return
        if engine_changes > known.work.engine_changes:
            known.work = known.work.with_engine_loads(loads, engine_changes)

    def alive(self) -> list[KnownHost]:
        """Return the hosts whose state is recent."""
        return [known for known in self.by_host.values() if known.is_alive]

    def at_address(self, address: Address) -> tuple[HostName, Incarnation]:
        """Return the host at a peer address, or an empty name if it is not known."""
        for known in self.by_host.values():
            if known.status.peers_address == address:
                return known.status.host, known.status.incarnation
        return HostName(""), Incarnation(0)

    def mark_suspect(self, address: Address) -> None:
        """Mark the host at an address as suspect because it did not answer a call."""
        for known in self.by_host.values():
            if known.status.peers_address == address:
                known.is_suspect = True

    def is_order_lease_held(self) -> bool:
        """Return whether a live host holds the lease for sending stage orders."""
        return any(known.status.holds_orders for known in self.alive())

    def refresh_liveness(self) -> None:
        """Log changes of liveness and remove hosts that were lost long ago."""
        alive = {known.status.host for known in self.alive()}
        for host in alive - self._alive:
            self._log.write("host.heard", of=host)
        for host in self._alive - alive:
            age_s = round(monotonic() - self.by_host[host].last_seen_at, 3)
            self._log.write("host.lost", of=host, heard_s_ago=age_s)
        self._alive = alive
        for host, known in list(self.by_host.items()):
            if monotonic() - known.last_seen_at > HOST_RETENTION_S:
                del self.by_host[host]

    def load_of(self, runner: RunnerKey) -> RunnerLoad:
        """Return the total load of the other live hosts at a runner."""
        loads = [known.work.load_by_runner.get(runner) for known in self.alive()]
        return total_load(load for load in loads if load is not None)

    def demand(self, service: ServiceName) -> Demand:
        """Return the total demand of the other live hosts for a service."""
        prompts = tokens = 0.0
        for known in self.alive():
            demand = known.work.demand_by_service.get(service, Demand())
            prompts += demand.prompt_tokens_per_s
            tokens += demand.decode_tokens
        return Demand(prompts, tokens)

    def reports_unreachable(self, host: HostName, runner: RunnerKey) -> bool:
        """Return whether a host reports a runner as unreachable."""
        known = self.by_host.get(host)
        return known is not None and runner in known.work.unreachable

    def is_suspect(self, host: HostName) -> bool:
        """Return whether a host did not answer the latest call."""
        known = self.by_host.get(host)
        return known is not None and known.is_suspect

    def is_reported_unreachable(self, runner: RunnerKey) -> bool:
        """Return whether another live host reports a runner as unreachable."""
        return any(runner in known.work.unreachable for known in self.alive())

    def switch_of(self, runner: RunnerKey) -> StageSwitch | None:
        """Return the stage change of an engine that another host has ordered.

        Its remaining time is reduced by the time since the report, down to 0.
        """
        for known in self.by_host.values():
            switch = known.work.switch_by_runner.get(runner)
            if switch is not None:
                elapsed_s = monotonic() - known.last_seen_at
                remaining_s = max(0.0, switch.unavailable_s - elapsed_s)
                return StageSwitch(switch.stage, remaining_s)
        return None


def engine_loads(
    load_by_runner: Mapping[RunnerKey, RunnerLoad],
) -> dict[RunnerKey, RunnerLoad]:
    """Return the loads that are at engines."""
    return {r: load for r, load in load_by_runner.items() if load.is_at_engine}


def total_load(loads: Iterable[RunnerLoad]) -> RunnerLoad:
    """Return the sum of loads."""
    requests = decode = prefill = 0
    for load in loads:
        requests += load.requests
        decode += load.decode_tokens
        prefill += load.prefill_tokens
    return RunnerLoad(requests, decode, prefill)
