"""Whether the store is down, as the calls of this host show it.

A call that fails is no outage yet: its connection may have been lost, or the store may
have refused just this one. Entries that are missing after an outage may come back, so
their runners stay in use for a while. If a lost call counted as an outage, that would
keep a runner in use that has left.
"""

from __future__ import annotations

from ..exceptions import PlatformError
from ..logs.lines import LogLines
from ..metrics.registry import Metrics
from ..utils.clock import monotonic


class StoreHealth:
    """Concludes from the calls of this host whether the store is down.

    It is if two calls fail, one of which began after the other had failed, and none
    succeeds in between. Watches don't count: a store that serves may cut them.

    Parameters
    ----------
    log : LogLines
    metrics : Metrics

    Attributes
    ----------
    last_success_at : float
        Monotonic time at which a call succeeded last.
    outage_ended_at : float
        Monotonic time at which the last outage ended.
    """

    def __init__(self, log: LogLines, metrics: Metrics) -> None:
        self._log = log
        self._metrics = metrics
        # When the first call failed since the last one that succeeded, and when that
        # call began; None without such a call.
        self._first_failure: tuple[float, float] | None = None
        self.last_success_at = float("-inf")
        # A process cannot detect an outage that ended just before its start, so it
        # behaves as if there was one.
        self.outage_ended_at = monotonic()
        self._is_down = False

    @property
    def is_down(self) -> bool:
        """Whether calls have failed one after the other and none has succeeded."""
        return self._is_down

    def record_success(self) -> None:
        """Record a call that succeeded."""
        now = monotonic()
        if self._is_down and self._first_failure is not None:
            began_at, _ = self._first_failure
            self._is_down = False
            self.outage_ended_at = now
            self._log.write("store.regained", out_s=round(now - began_at, 3))
        self._first_failure = None
        self.last_success_at = now

    def record_restoration(self, era: int) -> None:
        """Record that the store came back from an older copy."""
        self.outage_ended_at = monotonic()
        self._metrics.count("store_restorations")
        self._log.write("store.restored", era=era)

    def record_lost_watch(self, error: PlatformError, requested_at: float) -> None:
        """Record a watch that had no answer, which alone says nothing of the store."""
        self._note_failure(error, requested_at, "watch-configuration")

    def record_failure(
        self, error: PlatformError, requested_at: float, call: str
    ) -> None:
        """Record another call that failed.

        Parameters
        ----------
        error : PlatformError
        requested_at : float
            Monotonic time of the request.
        call : str
            What was called, for the log.
        """
        self._note_failure(error, requested_at, call)
        if self._is_down or requested_at <= self.last_success_at:
            return
        if self._first_failure is None:
            self._first_failure = (requested_at, monotonic())
            return
        _, failed_at = self._first_failure
        if requested_at >= failed_at:
            self._is_down = True
            self._log.write("store.lost", reason=error.message)

    def _note_failure(
        self, error: PlatformError, requested_at: float, call: str
    ) -> None:
        self._metrics.count("store_failures", call=call)
        self._log.write(
            "store.call_failed",
            call=call,
            after_s=round(monotonic() - requested_at, 3),
            reason=error.message,
        )
