"""The table of hosts and the rules for merging updates about them."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from enum import IntEnum

from ..models.ids import HostName, Incarnation
from ..utils.clock import monotonic

# Clocks differ, so a restarted process may begin with a lower incarnation than its
# predecessor had. Within this time it refutes updates about the predecessor; later,
# an update about another process under this host's name is about its replacement.
RESTART_GRACE_S = 10.0


class MemberState(IntEnum):
    """The last known state of a host; within an incarnation, the highest wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclass(frozen=True, slots=True)
class Member:
    """The state of a host, as kept in the table and sent in updates.

    Parameters
    ----------
    host : str
    zone : str
    incarnation : int
        Grows with each start of the process, each time that it refutes an update
        about itself and each time that it stops leaving.
    state : MemberState
    peer_address, callers_address : str
    leaving : bool
        Whether the host gets no new work.
    started : int
        The incarnation with which the process began.
    """

    host: HostName
    zone: str
    incarnation: Incarnation
    state: MemberState
    peer_address: str
    callers_address: str
    leaving: bool = False
    started: Incarnation = Incarnation(0)

    @property
    def rank(self) -> tuple[int, int, bool]:
        """Precedence of updates about the same host; the highest wins."""
        return (self.incarnation, int(self.state), self.leaving)


Listener = Callable[[Member | None, Member], None]


class MemberTable:
    """All known hosts, each with its latest state.

    Parameters
    ----------
    own : Member
        The host of this process.
    """

    def __init__(self, own: Member) -> None:
        self.own_host = own.host
        self._started_at = monotonic()
        self.by_host: dict[HostName, Member] = {own.host: own}
        self.listed: frozenset[HostName] = frozenset()
        # Returns whether contacts and recent probes show that this host is not cut off.
        self.confirmed_by_probes: Callable[[], bool] = lambda: True
        # Returns whether this process was paused and does not yet know the result.
        self.is_resuming: Callable[[], bool] = lambda: False
        self._listeners: list[Listener] = []

    @property
    def has_majority(self) -> bool:
        """Whether this host is in contact with most listed hosts that are not leaving.

        If no host list has been read or it contains no such hosts, all known hosts
        that are not leaving count. False if `confirmed_by_probes` returns False.

        If exactly half of them are alive, the half that contains the lowest host
        name has the majority.
        """
        if not self.confirmed_by_probes():
            return False
        leaving = {m.host for m in self.by_host.values() if m.leaving}
        voters = (self.listed or frozenset(self.by_host)) - leaving
        alive = voters & {m.host for m in self.alive()}
        if 2 * len(alive) == len(voters):
            return not voters or min(voters) in alive
        return 2 * len(alive) > len(voters)

    @property
    def own(self) -> Member:
        return self.by_host[self.own_host]

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener(before, after)`` on each change."""
        self._listeners.append(listener)

    def merge(self, update: Member) -> bool:
        """Merge an update about a host; return whether it changed the table."""
        if update.host == self.own_host:
            return self._refute(update)
        known = self.by_host.get(update.host)
        if known is not None and known.rank >= update.rank:
            return False
        self._set(known, update)
        return True

    def is_replacement(self, update: Member) -> bool:
        """Return whether an update shows a newer process under this host's name."""
        own = self.own
        return (
            update.host == self.own_host
            and update.peer_address != own.peer_address
            and update.incarnation > own.incarnation
            and update.state is MemberState.ALIVE
            and monotonic() - self._started_at > RESTART_GRACE_S
        )

    def set_leaving(self, host: HostName) -> bool:
        """Mark a host as leaving; return whether that changed the table."""
        known = self.by_host.get(host)
        if known is None or known.leaving:
            return False
        self._set(known, replace(known, leaving=True))
        return True

    def set_state(self, host: HostName, state: MemberState) -> bool:
        """Raise the state of a host; return whether that changed the table."""
        known = self.by_host.get(host)
        if known is None or known.state >= state:
            return False
        self._set(known, replace(known, state=state))
        return True

    def forget(self, host: HostName) -> None:
        """Remove a dead host."""
        self.by_host.pop(host, None)

    def alive(self) -> Iterable[Member]:
        """Return the hosts that are not dead, including this one and suspects."""
        return [m for m in self.by_host.values() if m.state is not MemberState.DEAD]

    def zone_by_host(self) -> dict[HostName, str]:
        """Return the zones, by host, of the hosts that are neither dead nor leaving.

        Only these hosts may hold shared state.
        """
        return {m.host: m.zone for m in self.alive() if not m.leaving}

    def clear_leaving(self) -> bool:
        """Let this host accept work again; return whether that changed the table."""
        own = self.own
        if not own.leaving:
            return False
        incarnation = Incarnation(own.incarnation + 1)
        self._set(own, replace(own, incarnation=incarnation, leaving=False))
        return True

    def _refute(self, update: Member) -> bool:
        own = self.own
        if update.leaving and update.incarnation == own.incarnation:
            # Another host read in the host list or the declaration that this host is
            # leaving, before this host did.
            self.set_leaving(self.own_host)
            own = self.own
        is_newer = update.incarnation > own.incarnation
        reports_failure = update.state is not MemberState.ALIVE
        if not is_newer and not (
            reports_failure and update.incarnation == own.incarnation
        ):
            return False
        incarnation = Incarnation(update.incarnation + 1)
        # A higher incarnation was used by an earlier process of this host, so this
        # process counts as started after it.
        started = incarnation if is_newer else own.started
        self._set(own, replace(own, incarnation=incarnation, started=started))
        return True

    def _set(self, before: Member | None, after: Member) -> None:
        self.by_host[after.host] = after
        for listener in self._listeners:
            listener(before, after)


def departed_incarnation(before: Member | None, after: Member) -> Incarnation | None:
    """Return the last incarnation of the process that a change shows to be gone.

    Returns
    -------
    incarnation : int or None
        None if the change does not show that a process is gone. A process is
        also gone if the host was restarted under the same name before its
        failure was detected.
    """
    if after.state is MemberState.DEAD:
        return after.incarnation
    if before is not None and after.started > before.started:
        return Incarnation(after.started - 1)
    return None
