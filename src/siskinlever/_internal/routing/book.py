"""Decides for one pool: who is placed where, who waits, who is refused.

A decode slot is reserved before the prefill starts, because the result of a
prefill is evicted in under a second.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from ..models.declaration import EnginePool, Model, Role, Urgency
from ..models.ids import HostName, Incarnation, RequestId, ReservationId
from ..models.outcome import Reason, Refused
from .decode_lane import DecodeLane
from .prefill_lane import PrefillLane

LOOKAHEAD_S = 0.02
TRANSFER_MARGIN_S = 0.03
SHORTEST_RETRY_S = 0.1
LONGEST_RETRY_S = 30.0


@dataclass(frozen=True, slots=True)
class Wish:
    """A request that asks this pool for room.

    Parameters
    ----------
    due : float
        Moment of the monotonic clock at which the first token is due.
    """

    reservation_id: ReservationId
    request_id: RequestId
    host: HostName
    incarnation: Incarnation
    model: Model
    prompt_tokens: int
    max_tokens: int
    prefix_hashes: tuple[int, ...]
    due: float
    excluded_runners: frozenset[str] = frozenset()

    @property
    def order(self) -> tuple[bool, float]:
        """Interactive requests first, then by deadline."""
        return (self.model.urgency is Urgency.DEFERRABLE, self.due)


@dataclass(slots=True)
class Placed:
    """A wish that was granted."""

    wish: Wish
    prefill_runner: str
    decode_runner: str
    prefill_ended: bool = False


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
        self._prefill_by_runner: dict[str, PrefillLane] = {}
        self._decode_by_runner: dict[str, DecodeLane] = {}
        self.leaving: set[str] = set()
        self.configure(pool)

    def configure(self, pool: EnginePool) -> None:
        """Take over a new declaration; lanes of runners that stay are kept."""
        self.pool = pool
        prefill = [r for r in pool.runners if r.role is Role.PREFILL]
        decode = [r for r in pool.runners if r.role is Role.DECODE]
        lanes = self._prefill_by_runner
        self._prefill_by_runner = {
            r.name: lanes.get(r.name) or PrefillLane(r) for r in prefill
        }
        slots = self._decode_by_runner
        self._decode_by_runner = {
            r.name: slots.get(r.name) or DecodeLane(r) for r in decode
        }
        for runner in pool.runners:
            lane = self._lane(runner.name)
            if lane is not None:
                lane.runner = runner

    def ask(self, wish: Wish, now: float) -> None:
        """Queue a wish, or refuse it if its target cannot be met."""
        known = wish.reservation_id
        if known in self.waiting_by_id or known in self.placed_by_id:
            return
        if not self._candidates(wish):
            self._refuse(wish, Reason.NO_RUNNER, 1.0, "no runner takes new work")
            return
        self.waiting_by_id[known] = wish
        self.decide(now)

    def decide(self, now: float) -> None:
        """Place what can start now and refuse what can no longer be in time."""
        for wish in sorted(self.waiting_by_id.values(), key=lambda w: w.order):
            if self._too_late(wish, now):
                del self.waiting_by_id[wish.reservation_id]
                self._refuse(
                    wish, Reason.OVERLOADED, self.retry_after_s(now), "pool is full"
                )
                continue
            if not self._place(wish, now):
                continue

    def prefill_ended(self, reservation_id: ReservationId, now: float) -> None:
        """Note that a prefill ended."""
        placed = self.placed_by_id.get(reservation_id)
        if placed is None or placed.prefill_ended:
            return
        placed.prefill_ended = True
        lane = self._prefill_by_runner.get(placed.prefill_runner)
        if lane is not None:
            lane.end(reservation_id, now)
        self.decide(now)

    def release(self, reservation_id: ReservationId, now: float) -> Placed | None:
        """Free all that a reservation holds."""
        self.waiting_by_id.pop(reservation_id, None)
        self.refused_by_id.pop(reservation_id, None)
        placed = self.placed_by_id.pop(reservation_id, None)
        if placed is None:
            return None
        prefill = self._prefill_by_runner.get(placed.prefill_runner)
        if prefill is not None:
            prefill.end(reservation_id, now)
        decode = self._decode_by_runner.get(placed.decode_runner)
        if decode is not None:
            decode.release(reservation_id)
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
        decode = self._decode_by_runner.get(placed.decode_runner)
        if decode is not None:
            decode.hold(wish.reservation_id, self._expected_end(wish, now))
        prefill = self._prefill_by_runner.get(placed.prefill_runner)
        if prefill is not None and not placed.prefill_ended:
            duration = prefill.duration_s(wish.prompt_tokens, wish.prefix_hashes)
            prefill.start(wish.reservation_id, wish.prefix_hashes, duration, now)

    def of_host(self, host: HostName, up_to: Incarnation) -> list[ReservationId]:
        """Return the reservations of a host's incarnations."""
        wishes = [p.wish for p in self.placed_by_id.values()]
        wishes += self.waiting_by_id.values()
        return [
            w.reservation_id
            for w in wishes
            if w.host == host and w.incarnation <= up_to
        ]

    def retry_after_s(self, now: float) -> float:
        """Return when room is expected for one more request."""
        ends = sorted(
            end
            for lane in self._decode_by_runner.values()
            for end in lane.end_by_reservation.values()
        )
        free = sum(max(0, lane.free_slots) for lane in self._decode_by_runner.values())
        ahead = len(self.waiting_by_id) - free
        if ahead < 0 or not ends:
            return SHORTEST_RETRY_S
        expected = ends[min(ahead, len(ends) - 1)] - now
        return min(max(expected, SHORTEST_RETRY_S), LONGEST_RETRY_S)

    def _lane(self, name: str) -> PrefillLane | DecodeLane | None:
        return self._prefill_by_runner.get(name) or self._decode_by_runner.get(name)

    def _candidates(self, wish: Wish) -> bool:
        return any(self._open(lane, wish) for lane in self._prefill_by_runner.values())

    def _open(self, lane: PrefillLane | DecodeLane, wish: Wish) -> bool:
        runner = lane.runner
        return not (
            runner.leaving
            or runner.name in self.leaving
            or runner.name in wish.excluded_runners
        )

    def _place(self, wish: Wish, now: float) -> bool:
        prefill = self._best_prefill(wish, now)
        decode = self._best_decode(wish)
        if prefill is None or decode is None or prefill.free_at > now + LOOKAHEAD_S:
            return False
        duration = prefill.duration_s(wish.prompt_tokens, wish.prefix_hashes)
        prefill.start(wish.reservation_id, wish.prefix_hashes, duration, now)
        decode.hold(wish.reservation_id, self._expected_end(wish, now))
        del self.waiting_by_id[wish.reservation_id]
        self.placed_by_id[wish.reservation_id] = Placed(
            wish, prefill.runner.name, decode.runner.name
        )
        return True

    def _best_prefill(self, wish: Wish, now: float) -> PrefillLane | None:
        lanes = [ln for ln in self._prefill_by_runner.values() if self._open(ln, wish)]
        return min(lanes, key=lambda ln: self._prefill_end(ln, wish, now), default=None)

    def _prefill_end(self, lane: PrefillLane, wish: Wish, now: float) -> float:
        duration = lane.duration_s(wish.prompt_tokens, wish.prefix_hashes)
        return max(lane.free_at, now) + duration

    def _best_decode(self, wish: Wish) -> DecodeLane | None:
        lanes = [
            ln
            for ln in self._decode_by_runner.values()
            if self._open(ln, wish) and ln.free_slots > 0
        ]
        return max(lanes, key=lambda ln: ln.free_slots, default=None)

    def _too_late(self, wish: Wish, now: float) -> bool:
        lane = self._best_prefill(wish, now)
        if lane is None:
            return True
        earliest = self._prefill_end(lane, wish, now) + self._transfer_s(wish, lane)
        return earliest > wish.due

    def _transfer_s(self, wish: Wish, lane: PrefillLane) -> float:
        size = wish.prompt_tokens * self.pool.kv_bytes_per_token
        return size / lane.runner.transfer_bytes_per_s + TRANSFER_MARGIN_S

    def _expected_end(self, wish: Wish, now: float) -> float:
        return now + wish.max_tokens * wish.model.per_token_s / 2

    def _refuse(
        self, wish: Wish, reason: Reason, retry_after_s: float, message: str
    ) -> None:
        self.refused_by_id[wish.reservation_id] = Refused(
            reason, retry_after_s, message
        )
