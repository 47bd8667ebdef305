"""Decides for one pool: who is placed where, who waits, who is refused.

A decode slot is reserved before the prefill starts, because the result of a
prefill is evicted in under a second. The slot may still be held if it is
predicted to be free when the KV cache arrives.
"""

from __future__ import annotations

import math
from dataclasses import replace

from ..models.declaration import EnginePool, Role
from ..models.ids import HostName, Incarnation, ModelName, ReservationId
from ..models.outcome import Reason, Refused
from .decode_lane import DecodeLane
from .estimates import Estimate
from .forecast import Forecast, Plan
from .ordering import Capacity, Pressure, order_key
from .prefill_lane import PrefillLane
from .wishes import Cost, Placed, Wish

LOOKAHEAD_S = 0.02
TRANSFER_MARGIN_S = 0.01
TARGET_MARGIN_S = 0.03
SHORTEST_RETRY_S = 0.1
LONGEST_RETRY_S = 30.0
LEAST_SPARE = 0.05
MOST_REFUSALS_KEPT = 1000
LONG_QUEUE = 16
LONG_QUEUE_PAUSE_S = 0.005
RELEASES_KEPT_S = 10.0
# Before any moment of the clock, so the slot counts as held until released.
UNKNOWN_END = 0.0
# Part of the per-token target that a token takes, until measured.
USUAL_TOKEN_PART = 0.7


class PoolBook:
    """The state of one pool's admission.

    Parameters
    ----------
    pool : EnginePool
    """

    def __init__(self, pool: EnginePool) -> None:
        self.waiting_by_id: dict[ReservationId, Wish] = {}
        self.placed_by_id: dict[ReservationId, Placed] = {}
        self.refused_by_id: dict[ReservationId, Refused] = {}
        self.prefill_by_runner: dict[str, PrefillLane] = {}
        self.decode_by_runner: dict[str, DecodeLane] = {}
        # Runners that said that they leave.
        self.leaving: set[str] = set()
        # Runners that do not answer.
        self.closed: set[str] = set()
        self._decided_at = -math.inf
        # An ask can arrive after its release, over another connection.
        self._released_at_by_id: dict[ReservationId, float] = {}
        self._pressure = Pressure()
        # What each waiting request took by prediction when it arrived: its order
        # is decided again and again, which must stay cheap.
        self._cost_by_id: dict[ReservationId, Cost] = {}
        self._token_s_by_model: dict[ModelName, Estimate] = {}
        self.configure(pool)

    def configure(self, pool: EnginePool) -> None:
        """Take over a new declaration; lanes of runners that stay are kept."""
        self.pool = pool
        prefill = [r for r in pool.runners if r.role is Role.PREFILL]
        decode = [r for r in pool.runners if r.role is Role.DECODE]
        rates = [runner.transfer_bytes_per_s for runner in prefill]
        self._transfer_rate = min(rates, default=math.inf)
        lanes = self.prefill_by_runner
        self.prefill_by_runner = {
            r.name: lanes.get(r.name) or PrefillLane(r) for r in prefill
        }
        slots = self.decode_by_runner
        self.decode_by_runner = {
            r.name: slots.get(r.name) or DecodeLane(r) for r in decode
        }
        for runner in prefill:
            self.prefill_by_runner[runner.name].runner = runner
        for runner in decode:
            self.decode_by_runner[runner.name].runner = runner
        self._hold_again()

    def ask(self, wish: Wish, now: float) -> None:
        """Queue a wish, or refuse it if its target cannot be met."""
        known = wish.reservation_id
        if known in self.waiting_by_id or known in self.placed_by_id:
            return
        if known in self.refused_by_id or self._was_released(known, now):
            return
        if not self._prefill_lanes(wish) or not self._decode_lanes(wish):
            self._refuse(wish, Reason.NO_RUNNER, 1.0, "no runner takes new work")
            return
        self.enqueue(wish, now)
        self.decide(now)

    def enqueue(self, wish: Wish, now: float) -> None:
        """Let a wish wait, with no decision yet."""
        cost = self._least_cost(wish)
        self.waiting_by_id[wish.reservation_id] = wish
        self._cost_by_id[wish.reservation_id] = cost
        self._pressure.add(wish, cost, now)

    def decide(self, now: float) -> None:
        """Place what can start now and refuse what will not be in time.

        A request that waits keeps the first slot that frees in thought, so
        that no later one with a longer prefill takes it.
        """
        if not self.waiting_by_id or self._decided_just_now(now):
            return
        self._decided_at = now
        prefill = [ln for ln in self.prefill_by_runner.values() if self._open(ln)]
        decode = [ln for ln in self.decode_by_runner.values() if self._open(ln)]
        forecast = Forecast(prefill, decode, now)
        spare = 1.0 - self._pressure.interactive_load(self._capacity(), now)
        for wish in self._ordered(now):
            plan = forecast.plan(
                lambda lane, wish=wish: self._cost(wish, lane),  # type: ignore[misc]
                wish.excluded_runners,
            )
            late_s = self._late_s(wish, plan, spare, now)
            if plan is None or late_s > 0:
                self._give_up(wish, late_s, now)
                continue
            forecast.serve(plan)
            if plan.start_at <= now + LOOKAHEAD_S:
                self._place(wish, plan, now)

    def _decided_just_now(self, now: float) -> bool:
        """Tell whether a long queue can wait for the next tick.

        Each decision goes through the whole queue.
        """
        long = len(self.waiting_by_id) > LONG_QUEUE
        return long and now - self._decided_at < LONG_QUEUE_PAUSE_S

    def prefill_ended(self, reservation_id: ReservationId, now: float) -> None:
        """Note that a prefill ended."""
        placed = self.placed_by_id.get(reservation_id)
        if placed is None or placed.prefill_ended:
            return
        placed.prefill_ended = True
        lane = self.prefill_by_runner.get(placed.prefill_runner)
        if lane is not None:
            lane.end(reservation_id, now, whole=True)
        self._expect_decode(placed, now)
        self.decide(now)

    def release(self, reservation_id: ReservationId, now: float) -> Placed | None:
        """Free all that a reservation holds."""
        self._released_at_by_id.pop(reservation_id, None)
        self._released_at_by_id[reservation_id] = now
        self._no_longer_waits(reservation_id)
        self.refused_by_id.pop(reservation_id, None)
        placed = self.placed_by_id.pop(reservation_id, None)
        if placed is None:
            return None
        prefill = self.prefill_by_runner.get(placed.prefill_runner)
        if prefill is not None:
            prefill.end(reservation_id, now, whole=False)
        decode = self.decode_by_runner.get(placed.decode_runner)
        if decode is not None:
            decode.release(reservation_id)
        if placed.decode_from is not None:
            held_s = now - placed.decode_from
            self._token_s(placed.wish).observe(held_s / placed.wish.max_tokens)
        self.decide(now)
        return placed

    def announce(self, placed: Placed, now: float) -> None:
        """Take over a reservation that another home granted."""
        wish = placed.wish
        known = self.placed_by_id.get(wish.reservation_id)
        if known is not None:
            # Another host may have taken it over with the request.
            known.wish = replace(
                known.wish, host=wish.host, incarnation=wish.incarnation
            )
            return
        self.placed_by_id[wish.reservation_id] = placed
        prefill = self.prefill_by_runner.get(placed.prefill_runner)
        if prefill is not None and not placed.prefill_ended:
            duration = prefill.duration_s(wish.prompt_tokens, wish.prefix_hashes)
            prefill.start(wish.reservation_id, wish.prefix_hashes, duration, now)
        self._expect_decode(placed, now)

    def of_host(self, host: HostName, up_to: Incarnation) -> list[ReservationId]:
        """Return the reservations of a host's incarnations."""
        wishes = [p.wish for p in self.placed_by_id.values()]
        wishes += self.waiting_by_id.values()
        return [
            w.reservation_id
            for w in wishes
            if w.host == host and w.incarnation <= up_to
        ]

    def _ordered(self, now: float) -> list[Wish]:
        scarcity = self._pressure.scarcity(self._capacity(), now)

        def key(wish: Wish) -> tuple[bool, int, float]:
            cost = self._cost_by_id[wish.reservation_id]
            return order_key(wish, scarcity.density(wish, cost), now)

        return sorted(self.waiting_by_id.values(), key=key)

    def _place(self, wish: Wish, plan: Plan, now: float) -> None:
        arrival = plan.prefill_end + plan.cost.transfer_s
        decode = self._best_decode(wish, arrival, now)
        if decode is None:
            return
        plan.lane.start(
            wish.reservation_id, wish.prefix_hashes, plan.cost.prefill_s, now
        )
        decode.hold(wish.reservation_id, arrival + plan.cost.decode_s)
        self._no_longer_waits(wish.reservation_id)
        self.placed_by_id[wish.reservation_id] = Placed(
            wish, plan.lane.runner.name, decode.runner.name
        )

    def _late_s(self, wish: Wish, plan: Plan | None, spare: float, now: float) -> float:
        """Return by how much the first token would be late, by prediction."""
        if plan is None:
            return LONGEST_RETRY_S
        wait_s = plan.start_at - now
        if wish.deferrable:
            # Requests yet to arrive will go before it.
            wait_s /= max(spare, LEAST_SPARE)
        ready_s = plan.cost.prefill_s + plan.cost.transfer_s
        return now + wait_s + ready_s + TARGET_MARGIN_S - wish.due

    def _no_longer_waits(self, reservation_id: ReservationId) -> None:
        self.waiting_by_id.pop(reservation_id, None)
        self._cost_by_id.pop(reservation_id, None)

    def _give_up(self, wish: Wish, late_s: float, now: float) -> None:
        self._no_longer_waits(wish.reservation_id)
        retry_after_s = self._retry_after_s(late_s, now)
        self._refuse(wish, Reason.OVERLOADED, retry_after_s, "pool is full")

    def _retry_after_s(self, late_s: float, now: float) -> float:
        """Return when as much work is done as makes a request late now."""
        spare = 1.0 - self._pressure.load(self._capacity(), now)
        expected = late_s / max(spare, LEAST_SPARE)
        return min(max(expected, SHORTEST_RETRY_S), LONGEST_RETRY_S)

    def _open(
        self,
        lane: PrefillLane | DecodeLane,
        excluded: frozenset[str] = frozenset(),
    ) -> bool:
        name = lane.runner.name
        unusable = self.leaving | self.closed | excluded
        return not lane.runner.leaving and name not in unusable

    def _prefill_lanes(self, wish: Wish) -> list[PrefillLane]:
        lanes = self.prefill_by_runner.values()
        return [ln for ln in lanes if self._open(ln, wish.excluded_runners)]

    def _decode_lanes(self, wish: Wish) -> list[DecodeLane]:
        lanes = self.decode_by_runner.values()
        return [ln for ln in lanes if self._open(ln, wish.excluded_runners)]

    def _best_decode(self, wish: Wish, arrival: float, now: float) -> DecodeLane | None:
        """Return the runner with the most slots free when the KV cache arrives."""

        def free(lane: DecodeLane) -> int:
            return lane.free_slots_at(arrival, now)

        best = max(self._decode_lanes(wish), key=free, default=None)
        return best if best is not None and free(best) > 0 else None

    def _capacity(self) -> Capacity:
        prefill = sum(self._open(ln) for ln in self.prefill_by_runner.values())
        decode = sum(
            ln.runner.slots for ln in self.decode_by_runner.values() if self._open(ln)
        )
        return Capacity(prefill, decode)

    def _cost(self, wish: Wish, lane: PrefillLane) -> Cost:
        """Return what a wish takes with one prefill runner."""
        return Cost(
            lane.duration_s(wish.prompt_tokens, wish.prefix_hashes),
            self._transfer_s(wish),
            wish.max_tokens * self._token_s(wish).value,
        )

    def _least_cost(self, wish: Wish) -> Cost:
        costs = [self._cost(wish, lane) for lane in self._prefill_lanes(wish)]
        return min(costs, key=lambda cost: cost.prefill_s, default=Cost(0.0, 0.0, 0.0))

    def _transfer_s(self, wish: Wish) -> float:
        size = wish.prompt_tokens * self.pool.kv_bytes_per_token
        return size / self._transfer_rate + TRANSFER_MARGIN_S

    def _token_s(self, wish: Wish) -> Estimate:
        """Return the time of a decode for each token that it may have."""
        name = ModelName(wish.model.name)
        estimate = self._token_s_by_model.get(name)
        if estimate is None:
            estimate = Estimate(wish.model.per_token_s * USUAL_TOKEN_PART)
            self._token_s_by_model[name] = estimate
        return estimate

    def _expect_decode(self, placed: Placed, now: float) -> None:
        """Correct when a slot will be free."""
        wish = placed.wish
        decode = self.decode_by_runner.get(placed.decode_runner)
        if decode is None:
            return
        starts = now + self._transfer_s(wish)
        placed.decode_from = starts if placed.prefill_ended else None
        length_s = wish.max_tokens * self._token_s(wish).value
        decode.hold(wish.reservation_id, starts + length_s)

    def _hold_again(self) -> None:
        """Hold the slots of runners that were not declared for a while."""
        for known, placed in self.placed_by_id.items():
            lane = self.decode_by_runner.get(placed.decode_runner)
            if lane is not None and known not in lane.end_by_reservation:
                lane.hold(known, UNKNOWN_END)

    def _was_released(self, reservation_id: ReservationId, now: float) -> bool:
        oldest = now - RELEASES_KEPT_S
        released = self._released_at_by_id
        while released and next(iter(released.values())) <= oldest:
            del released[next(iter(released))]
        return reservation_id in released

    def _refuse(
        self, wish: Wish, reason: Reason, retry_after_s: float, message: str
    ) -> None:
        self.refused_by_id[wish.reservation_id] = Refused(
            reason, retry_after_s, message
        )
        if len(self.refused_by_id) > MOST_REFUSALS_KEPT:
            # Their hosts did not come for them.
            del self.refused_by_id[next(iter(self.refused_by_id))]
