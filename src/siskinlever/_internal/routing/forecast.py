"""Simulates serving waiting requests in sequence, to predict their first tokens."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from .decode_tracker import DecodeTracker
from .prefill_tracker import PrefillTracker
from .reservations import Cost


@dataclass(frozen=True, slots=True)
class Plan:
    """The predicted placement and start of a request's prefill.

    Parameters
    ----------
    tracker : PrefillTracker
    cost : Cost
        Cost of the request on this prefill runner.
    start_at : float
        Start of the prefill in seconds of the monotonic clock.
    """

    tracker: PrefillTracker
    cost: Cost
    start_at: float

    @property
    def prefill_end(self) -> float:
        return self.start_at + self.cost.prefill_s


class Forecast:
    """Predicted occupancy of a pool's runners after each planned request.

    Parameters
    ----------
    prefill : iterable of PrefillTracker
        Only runners that take new work.
    decode : iterable of DecodeTracker
        Only runners that take new work.
    now : float
        Seconds of the monotonic clock.
    """

    def __init__(
        self,
        prefill: Iterable[PrefillTracker],
        decode: Iterable[DecodeTracker],
        now: float,
    ) -> None:
        self._now = now
        self._tracker_by_runner = {tracker.runner.name: tracker for tracker in prefill}
        self._free_by_runner = {
            name: tracker.free_at(now)
            for name, tracker in self._tracker_by_runner.items()
        }
        self._slot_free = [
            at for tracker in decode for at in tracker.slot_free_times(now)
        ]
        heapq.heapify(self._slot_free)

    def plan(
        self, cost_at: Callable[[PrefillTracker], Cost], excluded: frozenset[str]
    ) -> Plan | None:
        """Plan the next request on the runner that would end its prefill first.

        A runner that has the prompt's prefix in its cache is preferred until its
        queue is so long that a runner without it would end the prefill sooner.

        Returns
        -------
        Plan or None
            None if no decode slot or no permitted prefill runner exists.
        """
        if not self._slot_free:
            return None
        plans = [
            self._plan_at(tracker, cost_at(tracker))
            for name, tracker in self._tracker_by_runner.items()
            if name not in excluded
        ]
        return min(plans, key=lambda plan: plan.prefill_end, default=None)

    def apply(self, plan: Plan) -> None:
        """Occupy the prefill runner and the decode slot of a planned request."""
        self._free_by_runner[plan.tracker.runner.name] = plan.prefill_end
        heapq.heapreplace(self._slot_free, plan.prefill_end + plan.cost.hold_s)

    def _plan_at(self, tracker: PrefillTracker, cost: Cost) -> Plan:
        slot_needed_after_s = cost.prefill_s + cost.transfer_s
        start_at = max(
            self._free_by_runner[tracker.runner.name],
            self._slot_free[0] - slot_needed_after_s,
            self._now,
        )
        return Plan(tracker, cost, start_at)
