"""Table of attempts, from which a request's home decides which one may answer.

Every request has a home: the first host in the rendezvous order of its key.
At most one attempt is current at any time. The home grants completion of the
answer only to the current attempt, so no request is answered twice.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from ..models.ids import Attempt, HostName, Incarnation
from ..utils.clock import monotonic

ENDED_RETENTION_S = 600.0
RUNNING_RETENTION_S = 3600.0


class AttemptState(Enum):
    """State of the latest attempt at a request."""

    RUNNING = "running"
    ENDED = "ended"
    ANSWERED = "answered"


class Decision(Enum):
    """The home's reply to a host that registers an attempt."""

    START = "start"
    TAKE_OVER = "take_over"
    ALREADY_ANSWERED = "already_answered"
    OTHER_BODY = "other_body"


@dataclass(frozen=True, slots=True)
class GenerationHandle:
    """A generation that an attempt started, or is about to start, at an engine."""

    runner: str
    address: str
    engine_request_id: str


@dataclass(slots=True)
class Entry:
    """State of one request at its home, at the backup or at the host serving it.

    Parameters
    ----------
    ran : bool
        Whether an engine may have run an attempt that has ended or was
        replaced.
    previous_host : str or None
        Host of the attempt that this attempt took over.
    """

    host: HostName
    incarnation: Incarnation
    attempt: Attempt
    nonce: str
    body_digest: str
    state: AttemptState = AttemptState.RUNNING
    handles: tuple[GenerationHandle, ...] = ()
    ran: bool = False
    previous_host: HostName | None = None
    changed_at: float = field(default_factory=monotonic)

    @property
    def may_have_run(self) -> bool:
        """Whether an engine may have run the request.

        If so, the request must not be reported as not run.
        """
        return self.ran or self.state is not AttemptState.ENDED

    @property
    def rank(self) -> tuple[bool, int, str, bool]:
        """Sort key of the entries of one request.

        An answered entry ranks highest, so that a merge never discards an answer.
        """
        answered = self.state is AttemptState.ANSWERED
        ended = self.state is AttemptState.ENDED
        return (answered, self.attempt, self.nonce, ended)


@dataclass(frozen=True, slots=True)
class RegistrationReply:
    """The home's reply to a host that registers an attempt.

    Parameters
    ----------
    decision : Decision
    entry : Entry
        The entry after the decision. Its handles are those of the attempt
        that was taken over; the new attempt is responsible for them.
    """

    decision: Decision
    entry: Entry


DECISION_BY_STATE = {
    AttemptState.RUNNING: Decision.TAKE_OVER,
    AttemptState.ENDED: Decision.START,
    AttemptState.ANSWERED: Decision.ALREADY_ANSWERED,
}
RETENTION_S_BY_STATE = {
    AttemptState.RUNNING: RUNNING_RETENTION_S,
    AttemptState.ENDED: ENDED_RETENTION_S,
    AttemptState.ANSWERED: ENDED_RETENTION_S,
}


class AttemptTable:
    """Entries of the requests of which this host is home, backup or server."""

    def __init__(self) -> None:
        self.by_key: dict[str, Entry] = {}

    def register(self, key: str, requested: Entry) -> RegistrationReply:
        """Decide whether a new attempt may start, and store it if so.

        Parameters
        ----------
        requested : Entry
            The new attempt. Its number is raised above that of the stored
            attempt if necessary.
        """
        known = self.by_key.get(key)
        if known is None:
            self.by_key[key] = requested
            return RegistrationReply(Decision.START, requested)
        if known.nonce == requested.nonce:
            return RegistrationReply(Decision.START, known)
        if known.body_digest != requested.body_digest:
            return RegistrationReply(Decision.OTHER_BODY, known)
        decision = DECISION_BY_STATE[known.state]
        if decision is Decision.ALREADY_ANSWERED:
            return RegistrationReply(decision, known)
        requested.attempt = Attempt(max(requested.attempt, known.attempt + 1))
        requested.ran = known.may_have_run
        if decision is Decision.TAKE_OVER:
            requested.handles = known.handles
            requested.previous_host = known.host
        self.by_key[key] = requested
        return RegistrationReply(decision, requested)

    def hold(self, key: str, update: Entry) -> bool:
        """Store an entry that the serving host or the home sent.

        Returns
        -------
        current : bool
            False if a later attempt has replaced it.
        """
        known = self.by_key.get(key)
        if known is not None and known.nonce == update.nonce:
            if known.state is not AttemptState.ANSWERED:
                update.ran |= known.ran
                if update.state is AttemptState.RUNNING and not update.handles:
                    # The home's copy has no handles and may arrive after the
                    # entry that the serving host sent.
                    update.handles = known.handles
                self.by_key[key] = update
            return True
        return self.merge(key, update)

    def merge(self, key: str, update: Entry) -> bool:
        """Merge another host's entry; return whether its attempt is current."""
        known = self.by_key.get(key)
        if known is not None and known.rank >= update.rank:
            known.ran |= update.ran
            return known.nonce == update.nonce
        if known is not None:
            # The home that registered the new attempt may have had no entry
            # for the replaced one.
            same = known.nonce == update.nonce
            update.ran |= known.ran if same else known.may_have_run
        self.by_key[key] = update
        return True

    def complete(self, key: str, nonce: str) -> bool:
        """Mark a request answered if the attempt is current; return whether it is."""
        known = self.by_key.get(key)
        if known is None or known.nonce != nonce:
            return False
        self._set_state(known, AttemptState.ANSWERED)
        return True

    def abandon(self, key: str, nonce: str, ran: bool) -> bool:
        """Record that an attempt ended without an answer.

        Returns
        -------
        replaced : bool
            Whether a later attempt is now responsible for the handles.
        """
        known = self.by_key.get(key)
        if known is None:
            return False
        if known.nonce != nonce:
            return True
        if known.state is AttemptState.RUNNING:
            self._set_state(known, AttemptState.ENDED)
            known.ran |= ran
        return False

    def running_on(self, host: HostName, up_to: Incarnation) -> list[tuple[str, Entry]]:
        """Return a host's running attempts of incarnations not after `up_to`."""
        return [
            (key, entry)
            for key, entry in self.by_key.items()
            if entry.host == host
            and entry.incarnation <= up_to
            and entry.state is AttemptState.RUNNING
        ]

    def expire(self) -> None:
        """Delete entries that did not change during their retention time."""
        now = monotonic()
        old = [
            key
            for key, entry in self.by_key.items()
            if now - entry.changed_at > RETENTION_S_BY_STATE[entry.state]
        ]
        for key in old:
            del self.by_key[key]

    def _set_state(self, entry: Entry, state: AttemptState) -> None:
        entry.state = state
        entry.handles = ()
        entry.changed_at = monotonic()
