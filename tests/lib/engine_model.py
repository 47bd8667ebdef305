"""A model of a pool's engines, to compare two policies on the same arrivals.

The engines run in virtual time.
"""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from dataclasses import dataclass, field

from siskinlever._internal.models.declaration import EnginePool, Model
from siskinlever._internal.routing.reservations import ReservationRequest
from siskinlever._internal.routing.scheduler import PoolScheduler
from siskinlever_testbed.standins.answers import answer_text

RETENTION_S = 0.8
TOKEN_TIME_S = 0.02
TICK_S = 0.01


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request, with times in seconds of virtual time."""

    number: int
    at: float
    prompt_tokens: int
    max_tokens: int
    due: float


@dataclass
class Engines:
    """Engines of a pool, which record the answers and count the prefills.

    A prefill is wasted if its result is evicted, `RETENTION_S` after its end,
    before a decode slot is free.
    """

    pool: EnginePool
    now: float = 0.0
    answer_by_number: dict[int, str] = field(default_factory=dict)
    prefilled: int = 0
    wasted: int = 0
    in_time: int = 0

    def __post_init__(self):
        runners = self.pool.runners
        self.rate = {r.name: r.prefill_tokens_per_s for r in runners}
        self.free_at = {r.name: 0.0 for r in runners if r.role == "prefill"}
        self.slots = {r.name: r.slots for r in runners if r.role == "decode"}
        self.queue = {name: deque() for name in self.slots}
        self._order = itertools.count()
        self._events = []

    def at(self, moment, action, *arguments):
        heapq.heappush(self._events, (moment, next(self._order), action, arguments))

    def run(self):
        while self._events:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)

    def prefill(self, runner, arrival, ended):
        start = max(self.now, self.free_at[runner])
        self.free_at[runner] = start + arrival.prompt_tokens / self.rate[runner]
        self.prefilled += 1
        self.at(self.free_at[runner], ended)

    def decode(self, runner, arrival, released):
        self.queue[runner].append((arrival, self.now + RETENTION_S, released))
        self._start_next(runner)

    def _start_next(self, runner):
        while self.slots[runner] and self.queue[runner]:
            arrival, evicted_at, released = self.queue[runner].popleft()
            if evicted_at < self.now:
                self.wasted += 1
                released()
                continue
            self.slots[runner] -= 1
            self.in_time += self.now <= arrival.due
            end = self.now + arrival.max_tokens * TOKEN_TIME_S
            self.at(end, self._finish, runner, arrival, released)

    def _finish(self, runner, arrival, released):
        self.slots[runner] += 1
        prompt = f"prompt {arrival.number}"
        assert arrival.number not in self.answer_by_number
        self.answer_by_number[arrival.number] = answer_text(prompt, arrival.max_tokens)
        released()
        self._start_next(runner)


def serve_naive(engines: Engines, arrivals: list[Arrival]) -> None:
    """Serve with round-robin prefill, least loaded decode and no reservations."""
    prefill_runners = itertools.cycle(sorted(engines.free_at))
    load = dict.fromkeys(engines.slots, 0)

    def arrive(arrival):
        engines.prefill(next(prefill_runners), arrival, lambda: decode(arrival))

    def decode(arrival):
        runner = min(load, key=load.__getitem__)
        load[runner] += 1
        engines.decode(runner, arrival, lambda: decode_ended(runner))

    def decode_ended(runner):
        load[runner] -= 1

    for arrival in arrivals:
        engines.at(arrival.at, arrive, arrival)
    engines.run()


def serve_with_scheduler(
    engines: Engines, arrivals: list[Arrival], model: Model
) -> None:
    """Serve with the reservations of a `PoolScheduler`."""
    scheduler = PoolScheduler(engines.pool)
    arrival_by_id = {f"reservation-{a.number}": a for a in arrivals}
    started = set()

    def arrive(arrival):
        reservation_id = f"reservation-{arrival.number}"
        sizes = (model, arrival.prompt_tokens, arrival.max_tokens, (arrival.number,))
        ids = (reservation_id, f"request-{arrival.number}", "host-a", 1)
        scheduler.submit(ReservationRequest(*ids, *sizes, arrival.due), engines.now)
        start_granted()

    def start_granted():
        for reservation_id in [i for i in scheduler.granted_by_id if i not in started]:
            started.add(reservation_id)
            granted = scheduler.granted_by_id[reservation_id]
            arrival = arrival_by_id[reservation_id]
            engines.prefill(
                granted.prefill_runner,
                arrival,
                lambda granted=granted, arrival=arrival: decode(granted, arrival),
            )

    def decode(granted, arrival):
        reservation_id = granted.requested.reservation_id
        scheduler.prefill_ended(reservation_id, engines.now)
        engines.decode(granted.decode_runner, arrival, lambda: release(reservation_id))
        start_granted()

    def release(reservation_id):
        scheduler.release(reservation_id, engines.now)
        start_granted()

    def tick():
        scheduler.decide(engines.now)
        start_granted()
        if scheduler.waiting_by_id or engines.now < arrivals[-1].at:
            engines.at(engines.now + TICK_S, tick)

    for arrival in arrivals:
        engines.at(arrival.at, arrive, arrival)
    engines.at(0.0, tick)
    engines.run()
