"""Admission and placement of the requests of one pool.

A decode slot is reserved before the prefill starts, because the result of a
prefill is evicted in under a second. The slot may still be in use at that time
if it is predicted to be free when the KV cache arrives.
"""

from __future__ import annotations

import math
from dataclasses import replace

from ..models.declaration import EnginePool, Role
from ..models.ids import HostName, Incarnation, ModelName, ReservationId
from ..models.outcome import Reason, Refused
from .decode_tracker import DecodeTracker
from .estimates import Estimate
from .forecast import Forecast, Plan
from .ordering import Capacity, PoolLoad, order_key
from .prefill_tracker import PrefillTracker
from .reservations import Cost, GrantedReservation, ReservationRequest

# A prefill that is planned to start within this time is placed now.
LOOKAHEAD_S = 0.02
TRANSFER_MARGIN_S = 0.01
TARGET_MARGIN_S = 0.03
MIN_RETRY_S = 0.1
MAX_RETRY_S = 30.0
# Lower bound of the unused fraction of the capacity where it is a divisor.
MIN_SPARE = 0.05
MAX_REFUSALS_KEPT = 1000
LONG_QUEUE_LENGTH = 16
LONG_QUEUE_INTERVAL_S = 0.005
RELEASE_RETENTION_S = 10.0
# Earlier than any time of the clock, so that `DecodeTracker.free_slots_at` counts
# the slot as held until its reservation is released.
UNKNOWN_END = 0.0
# Initial estimate of the ratio of the decode time per token to the target time
# per token.
DEFAULT_TOKEN_TIME_RATIO = 0.7


class PoolScheduler:
    """Queues, grants and refuses the reservations of one pool.

    Parameters
    ----------
    pool : EnginePool

    Attributes
    ----------
    waiting_by_id : dict
        Requests without a decision.
    granted_by_id : dict
        Reservations that are held until `release`.
    refused_by_id : dict
        Refusals that were not yet returned to the requesting host.
    leaving : set of str
        Names of the leaving runners, as tracked by `LeavingRunners`.
    closed : set of str
        Names of the runners that `RunnerMonitor` closed to new work, because
        their load reports say that they are leaving or could not be read.
    """

    def __init__(self, pool: EnginePool) -> None:
        self.waiting_by_id: dict[ReservationId, ReservationRequest] = {}
        self.granted_by_id: dict[ReservationId, GrantedReservation] = {}
        self.refused_by_id: dict[ReservationId, Refused] = {}
        self.prefill_by_runner: dict[str, PrefillTracker] = {}
        self.decode_by_runner: dict[str, DecodeTracker] = {}
        self.leaving: set[str] = set()
        self.closed: set[str] = set()
        self._decided_at = -math.inf
        # A request can arrive after its release, over another connection.
        self._released_at_by_id: dict[ReservationId, float] = {}
        self._pool_load = PoolLoad()
        # Predicted cost of each waiting request, computed once on arrival: the
        # queue is sorted on every decision, which must stay cheap.
        self._cost_by_id: dict[ReservationId, Cost] = {}
        self._token_s_by_model: dict[ModelName, Estimate] = {}
        self.configure(pool)

    def configure(self, pool: EnginePool) -> None:
        """Apply a new declaration; runners that remain keep their trackers."""
        self.pool = pool
        prefill = [r for r in pool.runners if r.role is Role.PREFILL]
        decode = [r for r in pool.runners if r.role is Role.DECODE]
        rates = [runner.transfer_bytes_per_s for runner in prefill]
        self._transfer_rate = min(rates, default=math.inf)
        prefill_trackers = self.prefill_by_runner
        self.prefill_by_runner = {
            r.name: prefill_trackers.get(r.name) or PrefillTracker(r) for r in prefill
        }
        decode_trackers = self.decode_by_runner
        self.decode_by_runner = {
            r.name: decode_trackers.get(r.name) or DecodeTracker(r) for r in decode
        }
        for runner in prefill:
            self.prefill_by_runner[runner.name].runner = runner
        for runner in decode:
            self.decode_by_runner[runner.name].runner = runner
        self._restore_held_slots()

    def submit(self, requested: ReservationRequest, now: float) -> None:
        """Queue a request and decide, or refuse it if no runner takes new work.

        Has no effect for a reservation id that is known or was released in the
        last `RELEASE_RETENTION_S` seconds.
        """
        reservation_id = requested.reservation_id
        if reservation_id in self.waiting_by_id or reservation_id in self.granted_by_id:
            return
        if reservation_id in self.refused_by_id or self._was_released(
            reservation_id, now
        ):
            return
        if not self._prefill_trackers(requested) or not self._decode_trackers(
            requested
        ):
            self._refuse(requested, Reason.NO_RUNNER, 1.0, "no runner takes new work")
            return
        self.enqueue(requested, now)
        self.decide(now)

    def enqueue(self, requested: ReservationRequest, now: float) -> None:
        """Queue a request without deciding on it."""
        cost = self._least_cost(requested)
        self.waiting_by_id[requested.reservation_id] = requested
        self._cost_by_id[requested.reservation_id] = cost
        self._pool_load.add(requested, cost, now)

    def decide(self, now: float) -> None:
        """Place the requests that can start now and refuse those that would be late.

        A request that has to wait keeps the first slot that becomes free in the
        forecast, so that no later request with a longer prefill takes it.
        """
        if not self.waiting_by_id or self._is_throttled(now):
            return
        self._decided_at = now
        prefill = [t for t in self.prefill_by_runner.values() if self._accepts_work(t)]
        decode = [t for t in self.decode_by_runner.values() if self._accepts_work(t)]
        forecast = Forecast(prefill, decode, now)
        spare_fraction = 1.0 - self._pool_load.interactive_load(self._capacity(), now)
        for requested in self._ordered(now):
            plan = forecast.plan(
                lambda tracker, requested=requested: self._cost(requested, tracker),  # type: ignore[misc]
                requested.excluded_runners,
            )
            lateness_s = self._lateness_s(requested, plan, spare_fraction, now)
            if plan is None or lateness_s > 0:
                self._refuse_overloaded(requested, lateness_s, now)
                continue
            forecast.apply(plan)
            if plan.start_at <= now + LOOKAHEAD_S:
                self._place(requested, plan, now)

    def _is_throttled(self, now: float) -> bool:
        """Return whether the decision is left to the next tick.

        Each decision processes the whole queue, so decisions on a long queue
        are limited to one per `LONG_QUEUE_INTERVAL_S`.
        """
        long = len(self.waiting_by_id) > LONG_QUEUE_LENGTH
        return long and now - self._decided_at < LONG_QUEUE_INTERVAL_S

    def prefill_ended(self, reservation_id: ReservationId, now: float) -> None:
        """Mark a prefill as ended, update the predictions and decide."""
        granted = self.granted_by_id.get(reservation_id)
        if granted is None or granted.has_prefill_ended:
            return
        granted.has_prefill_ended = True
        tracker = self.prefill_by_runner.get(granted.prefill_runner)
        if tracker is not None:
            tracker.remove(reservation_id, now, completed=True)
        self._update_decode_end(granted, now)
        self.decide(now)

    def release(
        self, reservation_id: ReservationId, now: float
    ) -> GrantedReservation | None:
        """Remove a reservation or request and free its slots.

        Returns
        -------
        GrantedReservation or None
            None if the reservation was not granted.
        """
        self._released_at_by_id.pop(reservation_id, None)
        self._released_at_by_id[reservation_id] = now
        self._dequeue(reservation_id)
        self.refused_by_id.pop(reservation_id, None)
        granted = self.granted_by_id.pop(reservation_id, None)
        if granted is None:
            return None
        prefill = self.prefill_by_runner.get(granted.prefill_runner)
        if prefill is not None:
            prefill.remove(reservation_id, now, completed=False)
        decode = self.decode_by_runner.get(granted.decode_runner)
        if decode is not None:
            decode.release(reservation_id)
        if granted.decode_started_at is not None:
            held_s = now - granted.decode_started_at
            self._token_time(granted.requested).observe(
                held_s / granted.requested.max_tokens
            )
        self.decide(now)
        return granted

    def announce(self, granted: GrantedReservation, now: float) -> None:
        """Add a reservation that was granted elsewhere."""
        requested = granted.requested
        existing = self.granted_by_id.get(requested.reservation_id)
        if existing is not None:
            # Another host may have taken over the request and its reservation.
            existing.requested = replace(
                existing.requested,
                host=requested.host,
                incarnation=requested.incarnation,
            )
            return
        self.granted_by_id[requested.reservation_id] = granted
        prefill = self.prefill_by_runner.get(granted.prefill_runner)
        if prefill is not None and not granted.has_prefill_ended:
            duration = prefill.duration_s(
                requested.prompt_tokens, requested.prefix_hashes
            )
            prefill.add(
                requested.reservation_id, requested.prefix_hashes, duration, now
            )
        self._update_decode_end(granted, now)

    def reservations_of(
        self, host: HostName, up_to: Incarnation
    ) -> list[ReservationId]:
        """Return the ids of a host's granted reservations and waiting requests.

        Parameters
        ----------
        up_to : Incarnation
            Later incarnations of the host are left out.
        """
        reservations = [g.requested for g in self.granted_by_id.values()]
        reservations += self.waiting_by_id.values()
        return [
            r.reservation_id
            for r in reservations
            if r.host == host and r.incarnation <= up_to
        ]

    def _ordered(self, now: float) -> list[ReservationRequest]:
        scarcity = self._pool_load.scarcity(self._capacity(), now)

        def key(requested: ReservationRequest) -> tuple[bool, int, float]:
            cost = self._cost_by_id[requested.reservation_id]
            return order_key(requested, scarcity.density(requested, cost), now)

        return sorted(self.waiting_by_id.values(), key=key)

    def _place(self, requested: ReservationRequest, plan: Plan, now: float) -> None:
        arrival = plan.prefill_end + plan.cost.transfer_s
        decode = self._best_decode(requested, arrival, now)
        if decode is None:
            return
        plan.tracker.add(
            requested.reservation_id, requested.prefix_hashes, plan.cost.prefill_s, now
        )
        decode.hold(requested.reservation_id, arrival + plan.cost.decode_s)
        self._dequeue(requested.reservation_id)
        self.granted_by_id[requested.reservation_id] = GrantedReservation(
            requested, plan.tracker.runner.name, decode.runner.name
        )

    def _lateness_s(
        self,
        requested: ReservationRequest,
        plan: Plan | None,
        spare_fraction: float,
        now: float,
    ) -> float:
        """Return the predicted lateness of the first token in seconds.

        Zero or negative if the request would meet its target; `MAX_RETRY_S` if
        there is no plan.
        """
        if plan is None:
            return MAX_RETRY_S
        wait_s = plan.start_at - now
        if requested.deferrable:
            # Interactive requests that arrive later will be served before it.
            wait_s /= max(spare_fraction, MIN_SPARE)
        ready_s = plan.cost.prefill_s + plan.cost.transfer_s
        return now + wait_s + ready_s + TARGET_MARGIN_S - requested.due

    def _dequeue(self, reservation_id: ReservationId) -> None:
        self.waiting_by_id.pop(reservation_id, None)
        self._cost_by_id.pop(reservation_id, None)

    def _refuse_overloaded(
        self, requested: ReservationRequest, lateness_s: float, now: float
    ) -> None:
        self._dequeue(requested.reservation_id)
        retry_after_s = self._retry_after_s(lateness_s, now)
        self._refuse(requested, Reason.OVERLOADED, retry_after_s, "pool is full")

    def _retry_after_s(self, lateness_s: float, now: float) -> float:
        """Return the seconds after which a refused request should be retried.

        The predicted lateness is divided by the spare fraction of the capacity,
        because the queue shortens only at the rate of the spare capacity. The
        result is bounded by `MIN_RETRY_S` and `MAX_RETRY_S`.
        """
        spare_fraction = 1.0 - self._pool_load.load(self._capacity(), now)
        expected = lateness_s / max(spare_fraction, MIN_SPARE)
        return min(max(expected, MIN_RETRY_S), MAX_RETRY_S)

    def _accepts_work(
        self,
        tracker: PrefillTracker | DecodeTracker,
        excluded: frozenset[str] = frozenset(),
    ) -> bool:
        name = tracker.runner.name
        unusable = self.leaving | self.closed | excluded
        return not tracker.runner.leaving and name not in unusable

    def _prefill_trackers(self, requested: ReservationRequest) -> list[PrefillTracker]:
        trackers = self.prefill_by_runner.values()
        return [
            t for t in trackers if self._accepts_work(t, requested.excluded_runners)
        ]

    def _decode_trackers(self, requested: ReservationRequest) -> list[DecodeTracker]:
        trackers = self.decode_by_runner.values()
        return [
            t for t in trackers if self._accepts_work(t, requested.excluded_runners)
        ]

    def _best_decode(
        self, requested: ReservationRequest, arrival: float, now: float
    ) -> DecodeTracker | None:
        """Return the runner with the most slots free when the KV cache arrives."""

        def free(tracker: DecodeTracker) -> int:
            return tracker.free_slots_at(arrival, now)

        best = max(self._decode_trackers(requested), key=free, default=None)
        return best if best is not None and free(best) > 0 else None

    def _capacity(self) -> Capacity:
        prefill = sum(self._accepts_work(t) for t in self.prefill_by_runner.values())
        decode = sum(
            t.runner.slots
            for t in self.decode_by_runner.values()
            if self._accepts_work(t)
        )
        return Capacity(prefill, decode)

    def _cost(self, requested: ReservationRequest, tracker: PrefillTracker) -> Cost:
        """Return the predicted cost of a request on one prefill runner."""
        return Cost(
            tracker.duration_s(requested.prompt_tokens, requested.prefix_hashes),
            self._transfer_s(requested),
            requested.max_tokens * self._token_time(requested).value,
        )

    def _least_cost(self, requested: ReservationRequest) -> Cost:
        costs = [
            self._cost(requested, tracker)
            for tracker in self._prefill_trackers(requested)
        ]
        return min(costs, key=lambda cost: cost.prefill_s, default=Cost(0.0, 0.0, 0.0))

    def _transfer_s(self, requested: ReservationRequest) -> float:
        size = requested.prompt_tokens * self.pool.kv_bytes_per_token
        return size / self._transfer_rate + TRANSFER_MARGIN_S

    def _token_time(self, requested: ReservationRequest) -> Estimate:
        """Return the estimate of decode seconds per token of ``max_tokens``.

        This can be lower than the time per generated token, as answers may end
        before the limit.
        """
        name = ModelName(requested.model.name)
        estimate = self._token_s_by_model.get(name)
        if estimate is None:
            estimate = Estimate(requested.model.per_token_s * DEFAULT_TOKEN_TIME_RATIO)
            self._token_s_by_model[name] = estimate
        return estimate

    def _update_decode_end(self, granted: GrantedReservation, now: float) -> None:
        """Update the predicted time at which a decode slot becomes free."""
        requested = granted.requested
        decode = self.decode_by_runner.get(granted.decode_runner)
        if decode is None:
            return
        decode_start = now + self._transfer_s(requested)
        granted.decode_started_at = decode_start if granted.has_prefill_ended else None
        length_s = requested.max_tokens * self._token_time(requested).value
        decode.hold(requested.reservation_id, decode_start + length_s)

    def _restore_held_slots(self) -> None:
        """Hold the slots of runners that are declared again after being absent."""
        for reservation_id, granted in self.granted_by_id.items():
            tracker = self.decode_by_runner.get(granted.decode_runner)
            if tracker is not None and reservation_id not in tracker.end_by_reservation:
                tracker.hold(reservation_id, UNKNOWN_END)

    def _was_released(self, reservation_id: ReservationId, now: float) -> bool:
        oldest = now - RELEASE_RETENTION_S
        released = self._released_at_by_id
        while released and next(iter(released.values())) <= oldest:
            del released[next(iter(released))]
        return reservation_id in released

    def _refuse(
        self,
        requested: ReservationRequest,
        reason: Reason,
        retry_after_s: float,
        message: str,
    ) -> None:
        self.refused_by_id[requested.reservation_id] = Refused(
            reason, retry_after_s, message
        )
        if len(self.refused_by_id) > MAX_REFUSALS_KEPT:
            # Drop the oldest refusal, which its host has not fetched.
            del self.refused_by_id[next(iter(self.refused_by_id))]
