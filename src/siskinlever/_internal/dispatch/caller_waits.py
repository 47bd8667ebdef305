"""Estimates how long a caller has already waited when its request arrives.

A caller that retries after a refusal gets its first event late in any case. Its
request must not take capacity from requests that can still be on time. Callers do not
say that they retry, but they state how much longer they will wait, which is less than
callers of the same route state with their first request. These timeouts differ from
caller to caller as well, so that a slightly shorter one shows nothing.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Callable, Sequence

from ..utils.clock import monotonic

# Seconds for which a stated timeout is remembered. Callers that retry do so within a
# few seconds.
TIMEOUT_TTL_S = 20.0
# Number of timeouts that are remembered for each route.
MAX_TIMEOUTS = 64
# Timeouts below this share of the longest one are not those of first requests.
FIRST_REQUEST_SHARE = 0.75
# Share of the first requests whose timeouts count as unusually short.
SHORT_TIMEOUT_SHARE = 0.1


class CallerWaitTracker:
    """Tracks the timeouts that the callers of each route state.

    Parameters
    ----------
    now : callable, default=monotonic
    """

    def __init__(self, now: Callable[[], float] = monotonic) -> None:
        self._now = now
        self._timeouts_by_route: dict[str, deque[tuple[float, float]]] = defaultdict(
            lambda: deque(maxlen=MAX_TIMEOUTS)
        )

    def prior_wait_s(
        self, route: str, timeout_s: float, caller_timeout_s: float | None
    ) -> float:
        """Estimate the seconds since a caller's first request.

        The estimate is how much shorter the caller's timeout is than those that first
        requests of the route usually state. It is 0.0 if the caller states none, or if
        no other caller has recently stated one.

        Parameters
        ----------
        route : str
        timeout_s : float
            Timeout of the route in seconds. A longer timeout stated by the
            caller is reduced to it.
        caller_timeout_s : float or None
            Seconds from now for which the caller says it will wait.
        """
        if caller_timeout_s is None:
            return 0.0
        caller_timeout_s = min(caller_timeout_s, timeout_s)
        usual_s = _shortest_usual_s(self._recent(route, timeout_s))
        self._timeouts_by_route[route].append((self._now(), caller_timeout_s))
        return max(0.0, usual_s - caller_timeout_s)

    def _recent(self, route: str, limit_s: float) -> list[float]:
        """Return the timeouts that are remembered and within the route's timeout."""
        since = self._now() - TIMEOUT_TTL_S
        return [
            timeout_s
            for stated_at, timeout_s in self._timeouts_by_route[route]
            if stated_at >= since and timeout_s <= limit_s
        ]


def _shortest_usual_s(timeouts: Sequence[float]) -> float:
    """Return the timeout that most first requests reach; 0.0 if there are none."""
    if not timeouts:
        return 0.0
    least_s = FIRST_REQUEST_SHARE * max(timeouts)
    first_requests = sorted(timeout for timeout in timeouts if timeout >= least_s)
    return first_requests[int(SHORT_TIMEOUT_SHARE * len(first_requests))]
