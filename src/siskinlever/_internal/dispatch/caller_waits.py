"""Estimates how long a caller has already waited when its request arrives.

A caller that retries after a refusal gets its first event late in any case. Its
request must not take capacity from requests that can still be on time.
"""

from __future__ import annotations

from collections.abc import Callable

from ..utils.clock import monotonic

# Seconds for which the longest timeout stated on a route is remembered. Callers
# that retry do so within a few seconds.
LONGEST_TIMEOUT_TTL_S = 20.0


class CallerWaitTracker:
    """Tracks the longest timeout that the callers of each route state.

    A caller that retries has less time left than one that sends its first
    request.

    Parameters
    ----------
    now : callable, default=monotonic
    """

    def __init__(self, now: Callable[[], float] = monotonic) -> None:
        self._now = now
        self._longest_by_route: dict[str, tuple[float, float]] = {}

    def prior_wait_s(
        self, route: str, timeout_s: float, caller_timeout_s: float | None
    ) -> float:
        """Estimate the seconds since a caller's first request.

        The estimate is the difference between the longest timeout remembered for
        the route and the caller's timeout. It is 0.0 if the caller states no
        timeout, or if the remembered timeout has expired, exceeds the current
        `timeout_s` or does not exceed the caller's timeout.

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
        longest_timeout_s, seen_at = self._longest_by_route.get(
            route, (0.0, float("-inf"))
        )
        is_expired = self._now() - seen_at > LONGEST_TIMEOUT_TTL_S
        if (
            is_expired
            or caller_timeout_s >= longest_timeout_s
            or longest_timeout_s > timeout_s
        ):
            self._longest_by_route[route] = (caller_timeout_s, self._now())
            return 0.0
        return longest_timeout_s - caller_timeout_s
