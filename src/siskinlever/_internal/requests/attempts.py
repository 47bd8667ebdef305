"""Which attempt at a request may answer: the state at the request's home.

Every request has a home, the first host in the rendezvous order of its key.
The home lets one attempt at a time be current, and grants the completion of
an answer to the current attempt only, so no request is answered twice.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from ..models.ids import Attempt, HostName, Incarnation
from ..utils.clock import monotonic

ENDED_KEPT_S = 600.0
MAX_ENTRIES = 200_000


class AttemptState(Enum):
    """How far the current attempt is."""

    RUNNING = "running"
    ENDED = "ended"
    ANSWERED = "answered"


class Decision(Enum):
    """What a host that asks to run a request is told."""

    START = "start"
    TAKE_OVER = "take_over"
    ALREADY_ANSWERED = "already_answered"
    OTHER_BODY = "other_body"


@dataclass(frozen=True, slots=True)
class EngineHandle:
    """What an attempt holds at an engine."""

    runner: str
    address: str
    engine_request_id: str


@dataclass(slots=True)
class Entry:
    """One request, as its home and the home's backup know it."""

    host: HostName
    incarnation: Incarnation
    attempt: Attempt
    nonce: str
    body_digest: str
    state: AttemptState = AttemptState.RUNNING
    handles: tuple[EngineHandle, ...] = ()
    changed_at: float = field(default_factory=monotonic)


@dataclass(frozen=True, slots=True)
class Registration:
    """The home's answer to a host that asks to run a request.

    Parameters
    ----------
    decision : Decision
    attempt : int
    previous : Entry or None
        The attempt that was taken over.
    """

    decision: Decision
    attempt: Attempt
    previous: Entry | None = None


DECISION_BY_STATE = {
    AttemptState.RUNNING: Decision.TAKE_OVER,
    AttemptState.ENDED: Decision.START,
    AttemptState.ANSWERED: Decision.ALREADY_ANSWERED,
}


class AttemptTable:
    """The requests that this host is home, or backup, of."""

    def __init__(self) -> None:
        self.by_key: dict[str, Entry] = {}

    def register(
        self,
        key: str,
        host: HostName,
        incarnation: Incarnation,
        nonce: str,
        body_digest: str,
        attempt: Attempt,
    ) -> Registration:
        """Decide about a new attempt.

        Parameters
        ----------
        attempt : int
            Number for the new attempt, higher than all before.
        """
        known = self.by_key.get(key)
        if known is None:
            return self._start(
                key, host, incarnation, nonce, body_digest, attempt, Decision.START
            )
        if known.nonce == nonce:
            return Registration(Decision.START, known.attempt)
        if known.body_digest != body_digest:
            return Registration(Decision.OTHER_BODY, known.attempt)
        decision = DECISION_BY_STATE[known.state]
        if decision is Decision.ALREADY_ANSWERED:
            return Registration(decision, known.attempt)
        number = Attempt(max(attempt, known.attempt + 1))
        started = self._start(
            key, host, incarnation, nonce, body_digest, number, decision
        )
        previous = known if decision is Decision.TAKE_OVER else None
        return Registration(decision, started.attempt, previous)

    def hold(self, key: str, news: Entry) -> bool:
        """Take in what a serving host says of its attempt.

        Returns
        -------
        current : bool
            False if a later attempt has replaced it.
        """
        known = self.by_key.get(key)
        if known is not None and known.attempt > news.attempt:
            return False
        if known is not None and known.state is AttemptState.ANSWERED:
            return known.attempt == news.attempt
        self.by_key[key] = news
        return True

    def complete(self, key: str, attempt: Attempt) -> bool:
        """Grant the completion of an answer to the current attempt only."""
        known = self.by_key.get(key)
        if known is None or known.attempt != attempt:
            return False
        if known.state is AttemptState.ENDED:
            return False
        known.state = AttemptState.ANSWERED
        known.handles = ()
        known.changed_at = monotonic()
        return True

    def abandon(self, key: str, attempt: Attempt) -> None:
        """Note that an attempt ended with no answer."""
        known = self.by_key.get(key)
        if known is None or known.attempt != attempt:
            return
        if known.state is AttemptState.RUNNING:
            known.state = AttemptState.ENDED
            known.handles = ()
            known.changed_at = monotonic()

    def of_host(self, host: HostName, up_to: Incarnation) -> list[tuple[str, Entry]]:
        """Return the running attempts of a host's incarnations."""
        return [
            (key, entry)
            for key, entry in self.by_key.items()
            if entry.host == host
            and entry.incarnation <= up_to
            and entry.state is AttemptState.RUNNING
        ]

    def expire(self) -> None:
        """Forget requests that ended long ago."""
        oldest = monotonic() - ENDED_KEPT_S
        ended = [
            key
            for key, entry in self.by_key.items()
            if entry.state is not AttemptState.RUNNING and entry.changed_at < oldest
        ]
        for key in ended:
            del self.by_key[key]

    def _start(
        self,
        key: str,
        host: HostName,
        incarnation: Incarnation,
        nonce: str,
        body_digest: str,
        attempt: Attempt,
        decision: Decision,
    ) -> Registration:
        self.by_key[key] = Entry(host, incarnation, attempt, nonce, body_digest)
        return Registration(decision, attempt)
