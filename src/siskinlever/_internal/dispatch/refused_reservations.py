"""Remembers which reservations engines refused, until they may succeed again.

The load in mind is an engine that refuses every reservation for seconds although no
host knows of a load there, for example because it leaves while the store is out. It
looks like the engine with the most free capacity, so that every host would ask it
first, again and again. On one measured day, nine such engines of 45 caused 7,100 of the
7,800 refusals.

A refusal shows how much the engine holds at least, in terms of the load that is known
to this host. Requests that need more are not tried until generations end there or the
refusal has expired. After several refusals in a row the known load explains nothing, so
that the engine is not tried at all for a longer time.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..models.upstreams import RunnerKey
from ..utils.clock import monotonic

# Seconds for which the first refusal counts. On a full engine a generation ends about
# every 0.2 s.
FIRST_SKIP_S = 0.08
# Refusals in a row after which the engine counts as refusing everything. Other hosts
# may have taken the room of the first ones.
UNEXPLAINED_IN_A_ROW = 3
# Factor by which each refusal from then on counts longer.
SKIP_GROWTH = 2.0
# Maximum seconds for which a refusal counts. A dozen hosts ask at different times, so
# that an engine that takes requests again soon has some.
MAX_SKIP_S = 2.0
# Seconds after which an engine that refused everything is ranked as the others again,
# until it refuses once more.
DOUBT_S = 4.0


@dataclass(slots=True)
class Refusal:
    """The latest refusal of an engine.

    Parameters
    ----------
    refused_tokens : float
        Known load plus needed tokens at which it refused. Less may fit.
    refused_at, until : float
        Monotonic times of the refusal, and until which it counts.
    in_a_row : int
        Number of refusals since the latest granted reservation.
    """

    refused_tokens: float
    refused_at: float
    until: float
    in_a_row: int


class RefusedReservations:
    """The latest refusal of each engine.

    Parameters
    ----------
    now : callable, default=monotonic
    """

    def __init__(self, now: Callable[[], float] = monotonic) -> None:
        self._now = now
        self.by_engine: dict[RunnerKey, Refusal] = {}

    def note_refused(self, engine: RunnerKey, tokens: float) -> None:
        """Record a refusal.

        Parameters
        ----------
        engine : RunnerKey
        tokens : float
            Load of the engine that is known to this host plus the tokens that the
            request needs; 0 if nothing may fit.
        """
        now = self._now()
        before = self.by_engine.get(engine)
        in_a_row = 1 if before is None else before.in_a_row + 1
        growth = SKIP_GROWTH ** max(0, in_a_row - UNEXPLAINED_IN_A_ROW + 1)
        skip_s = min(FIRST_SKIP_S * growth, MAX_SKIP_S)
        self.by_engine[engine] = Refusal(tokens, now, now + skip_s, in_a_row)

    def note_granted(self, engine: RunnerKey) -> None:
        """Record a granted reservation, which ends the refusals in a row."""
        self.forget(engine)

    def may_fit(self, engine: RunnerKey, tokens: float) -> bool:
        """Return whether a request may fit, as far as the refusals tell.

        Parameters
        ----------
        engine : RunnerKey
        tokens : float
            Known load plus needed tokens.
        """
        refusal = self.by_engine.get(engine)
        if refusal is None or self._now() >= refusal.until:
            return True
        is_explained = refusal.in_a_row < UNEXPLAINED_IN_A_ROW
        return is_explained and tokens < refusal.refused_tokens

    def is_doubtful(self, engine: RunnerKey) -> bool:
        """Return whether an engine has recently refused everything."""
        refusal = self.by_engine.get(engine)
        return (
            refusal is not None
            and refusal.in_a_row >= UNEXPLAINED_IN_A_ROW
            and self._now() - refusal.refused_at <= DOUBT_S
        )

    def forget(self, engine: RunnerKey) -> None:
        """Remove what is known of an engine."""
        self.by_engine.pop(engine, None)
