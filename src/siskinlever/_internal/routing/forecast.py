"""Serves waiting requests in thought, in order, to predict their first tokens."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from .decode_tracker import DecodeTracker
from .prefill_tracker import PrefillTracker
from .reservations import Cost


@dataclass(frozen=True, slots=True)
class Plan:
    """Where and when a request's prefill would start.

    Parameters
    ----------
    tracker : PrefillTracker
    cost : Cost
        What the request takes with this prefill runner.
    start_at : float
        Moment of the monotonic clock.
    """

    tracker: PrefillTracker
    cost: Cost
    start_at: float

    @property
    def prefill_end(self) -> float:
        return self.start_at + self.cost.prefill_s


class Forecast:
    """The runners of a pool as requests served in thought leave them.

    Parameters
    ----------
    prefill : iterable of PrefillTracker
    decode : iterable of DecodeTracker
        Runners that take new work.
    now : float
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
        """Plan the next request at the runner that would end its prefill first.

        A runner with the prompt's prefix in its cache is chosen until others,
        which must process all of it, would still be sooner.
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
        """Let a planned request take its place."""
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
