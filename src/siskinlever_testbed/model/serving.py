"""Simulated hosts that place generations on engines with siskinlever's own code."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from siskinlever._internal.dispatch.caller_waits import CallerWaitTracker
from siskinlever._internal.dispatch.engine_placement import EnginePlacement
from siskinlever._internal.dispatch.reachability import Reachability
from siskinlever._internal.dispatch.wait_queue import Waiter, WaitQueue
from siskinlever._internal.fleet.hosts import RunnerLoad, total_load
from siskinlever._internal.fleet.in_progress import IDLE, InProgress
from siskinlever._internal.gateway.capacity import (
    EXPECTED_FIRST_EVENT_S,
    FIRST_EVENT_TIMEOUT_MARGIN_S,
    MAX_WAIT_SHARE,
    OVERLOADED_RETRY_S,
    POLL_S,
    RESERVED_OUTPUT_SHARE,
)
from siskinlever._internal.models.ids import RunnerName, ServiceName, ZoneName
from siskinlever._internal.models.routes import EngineSpec
from siskinlever._internal.models.upstreams import (
    Address,
    Registration,
    RunnerKey,
    SoftwareVersion,
    Stage,
    StartedAt,
)
from siskinlever._internal.utils.clock import monotonic

from .arrivals import Arrival
from .engines import Engine, EngineFullError, HoldId, Run
from .policies import Policy

# Seconds for a call to an engine or another host, including its answer.
ROUND_TRIP_S = 0.003
# Share of a caller's time for the first event after which a refusal comes too late for
# it to go elsewhere.
HELD_SHARE = 0.75


@dataclass(frozen=True, slots=True)
class Objectives:
    """Service objectives of a route.

    Parameters
    ----------
    first_event_s, gap_s : float
        Limits on the time to the first event and on gaps between tokens, within
        which an answer has its full worth.
    caller_timeout_s : float
        Seconds without a first event after which the caller disconnects.
    deadline_s : float
        Seconds that a caller allows for the whole answer. It limits only the wait
        for capacity; a generation that has started is not ended by it.
    late_worth : float
        Share of the worth that a late answer has.
    patience_spread : float
        Callers state timeouts that are shorter than the deadline by up to this share,
        from which hosts estimate when they sent their first request. If 0, the hosts
        know it.
    """

    first_event_s: float = 0.9
    gap_s: float = 0.3
    caller_timeout_s: float = 3.6
    deadline_s: float = 14.0
    late_worth: float = 0.2
    patience_spread: float = 0.0


class OutcomeKind(Enum):
    """How a generation ended."""

    ON_TIME = "on time"
    LATE = "late"
    REFUSED = "refused"
    DISCONNECTED = "its caller left"


@dataclass(slots=True)
class Outcome:
    """A generation and how it ended."""

    arrival: Arrival
    kind: OutcomeKind


class Fleet:
    """All hosts of a deployment and the engines that they use."""

    def __init__(
        self,
        engines: Sequence[Engine],
        zones: Sequence[ZoneName],
        spec: EngineSpec,
        objectives_by_urgency: tuple[Objectives, Objectives],
        policy: Policy,
        seed: int,
    ) -> None:
        self.engine_by_runner = {_registration(e).key: e for e in engines}
        self.registrations = [_registration(e) for e in engines]
        self.spec = spec
        self.objectives_by_urgency = objectives_by_urgency
        self.policy = policy
        self.random = random.Random(seed)
        self.patience_random = random.Random(seed + 1)
        self.outcomes: list[Outcome] = []
        self.holds_refused = 0
        self.held_then_refused = 0
        self.tokens_transferred = 0
        self.tokens_across_zones = 0
        queue = WaitQueue()
        self.hosts = [
            Host(self, zone, queue if policy.shares_queue else WaitQueue())
            for zone in zones
        ]

    def objectives_of(self, arrival: Arrival) -> Objectives:
        """Return the objectives of the route of a generation."""
        return self.objectives_by_urgency[arrival.is_urgent]

    def remove(self, engine: Engine) -> None:
        """Let no host use an engine any more."""
        self.registrations = [
            r for r in self.registrations if r.key.name != engine.name
        ]

    async def exchange_loads(self) -> None:
        """Update the hosts' view of each other's load periodically until cancelled."""
        if math.isinf(self.policy.load_update_period_s):
            return
        while True:
            for host in self.hosts:
                host.update_other_loads()
            await asyncio.sleep(self.policy.load_update_period_s)

    async def serve(self, arrival: Arrival) -> None:
        """Serve a generation on a random host, with one retry if it is refused."""
        started_at = monotonic()
        kind = await self._try_once(arrival, started_at)
        if kind is OutcomeKind.REFUSED:
            await asyncio.sleep(OVERLOADED_RETRY_S)
            kind = await self._try_once(arrival, started_at)
        self.outcomes.append(Outcome(arrival, kind))

    async def _try_once(self, arrival: Arrival, first_request_at: float) -> OutcomeKind:
        arrived_at = monotonic()
        host = self.random.choice(self.hosts)
        kind = await host.serve(arrival, first_request_at)
        waited_s = monotonic() - arrived_at
        if kind is OutcomeKind.REFUSED:
            timeout_s = self.objectives_of(arrival).caller_timeout_s
            self.held_then_refused += waited_s >= HELD_SHARE * timeout_s
        return kind


@dataclass(slots=True)
class Host:
    """One host, with its own load and its view of the load of the others."""

    fleet: Fleet
    zone: ZoneName
    queue: WaitQueue
    caller_waits: CallerWaitTracker = field(
        default_factory=lambda: CallerWaitTracker(monotonic)
    )
    in_progress: InProgress = field(default_factory=InProgress)
    other_load_by_runner: dict[RunnerKey, RunnerLoad] = field(default_factory=dict)
    placement: EnginePlacement = field(init=False)

    def __post_init__(self) -> None:
        self.placement = EnginePlacement(
            self.zone, self._load_at, lambda runner: Reachability.REACHABLE
        )

    def update_other_loads(self) -> None:
        """Update the view of the load that the other hosts cause on each runner."""
        self.other_load_by_runner = {}
        for host in self.fleet.hosts:
            if host is not self:
                for runner, load in host.in_progress.load_by_runner.items():
                    known = self.other_load_by_runner.get(runner, IDLE)
                    self.other_load_by_runner[runner] = total_load((known, load))

    def _load_at(self, runner: RunnerKey) -> RunnerLoad:
        other_load = self.other_load_by_runner.get(runner, IDLE)
        return total_load((self.in_progress.load_of(runner), other_load))

    async def serve(self, arrival: Arrival, first_request_at: float) -> OutcomeKind:
        """Serve one request of a caller.

        `first_request_at` is the time of the first attempt, from which the time to
        the first event counts.
        """
        arrived_at = monotonic()
        on_time_until = (
            self._estimate_first_request(arrival, arrived_at, first_request_at)
            + self.fleet.objectives_of(arrival).first_event_s
            - EXPECTED_FIRST_EVENT_S
        )
        reservation: tuple[Registration, HoldId | None] | None = (
            self._least_loaded_engine()
        )
        if self.fleet.policy.reserves:
            reservation = await self._reserve_decode_engine(
                arrival, arrived_at, on_time_until
            )
        if reservation is None:
            return OutcomeKind.REFUSED
        runner, hold = reservation
        caller_timeout_at = (
            arrived_at + self.fleet.objectives_of(arrival).caller_timeout_s
        )
        with self.in_progress.decode(runner.key, arrival.prompt + arrival.hint):
            engine = self.fleet.engine_by_runner[runner.key]
            is_prefilled = await self._prefill(arrival, engine, on_time_until)
            try:
                run = engine.decode(arrival.prompt, arrival.output, hold, is_prefilled)
            except EngineFullError:
                return OutcomeKind.REFUSED
            objectives = self.fleet.objectives_of(arrival)
            return await self._relay(
                engine, run, objectives, caller_timeout_at, first_request_at
            )

    def _estimate_first_request(
        self, arrival: Arrival, arrived_at: float, first_request_at: float
    ) -> float:
        """Return when the caller sent its first request, as this host estimates it.

        Callers of equal patience are known exactly.
        """
        objectives = self.fleet.objectives_of(arrival)
        if not objectives.patience_spread:
            return first_request_at
        patience = 1 - self.fleet.patience_random.uniform(0, objectives.patience_spread)
        stated_s = patience * objectives.deadline_s - (arrived_at - first_request_at)
        prior_wait_s = self.caller_waits.prior_wait_s(
            "route", objectives.deadline_s, stated_s
        )
        return arrived_at - prior_wait_s

    async def _relay(
        self,
        engine: Engine,
        run: Run,
        objectives: Objectives,
        caller_timeout_at: float,
        first_request_at: float,
    ) -> OutcomeKind:
        try:
            async with asyncio.timeout(max(0.0, caller_timeout_at - monotonic())):
                await run.first_token.wait()
        except TimeoutError:
            engine.cancel(run)
            return OutcomeKind.DISCONNECTED
        is_late = monotonic() > first_request_at + objectives.first_event_s
        await run.ended.wait()
        if is_late or run.max_gap_s > objectives.gap_s:
            return OutcomeKind.LATE
        return OutcomeKind.ON_TIME

    def _least_loaded_engine(self) -> tuple[Registration, HoldId | None]:
        """Return the decode engine with the fewest requests of this host."""
        decode_engines = [
            r for r in self.fleet.registrations if r.stage is Stage.DECODE
        ]
        return min(
            decode_engines, key=lambda r: self.in_progress.load_of(r.key).requests
        ), None

    async def _reserve_decode_engine(
        self, arrival: Arrival, arrived_at: float, on_time_until: float
    ) -> tuple[Registration, HoldId] | None:
        objectives = self.fleet.objectives_of(arrival)
        give_up_at = arrived_at + min(
            MAX_WAIT_SHARE * objectives.deadline_s,
            objectives.caller_timeout_s
            - FIRST_EVENT_TIMEOUT_MARGIN_S
            - EXPECTED_FIRST_EVENT_S,
        )
        priority = 0 if arrival.is_urgent else 2
        self.placement.priorities.note(priority)
        waiter = Waiter(priority, arrived_at, on_time_until)
        with self.queue.enqueued(waiter):
            while True:
                self.queue.reorder()
                if waiter.at_head.is_set():
                    reservation = await self._try_reserve(arrival, waiter)
                    if reservation is not None:
                        return reservation
                if monotonic() >= give_up_at:
                    return None
                await asyncio.sleep(POLL_S)

    async def _try_reserve(
        self, arrival: Arrival, waiter: Waiter
    ) -> tuple[Registration, HoldId] | None:
        reserved_tokens = arrival.prompt + int(RESERVED_OUTPUT_SHARE * arrival.hint)
        for runner in self.placement.decode_candidates(
            self.fleet.registrations,
            self.fleet.spec,
            arrival.prompt + arrival.hint,
            self.placement.priorities.capacity_share(
                waiter.priority, monotonic() > waiter.on_time_until
            ),
        ):
            await asyncio.sleep(ROUND_TRIP_S)
            engine = self.fleet.engine_by_runner[runner.key]
            try:
                hold = engine.take_hold(reserved_tokens)
            except EngineFullError:
                self.fleet.holds_refused += 1
                self.placement.note_refused(runner.key, arrival.prompt + arrival.hint)
            else:
                self.placement.note_granted(runner.key)
                return runner, hold
        return None

    async def _prefill(
        self, arrival: Arrival, engine: Engine, on_time_until: float
    ) -> bool:
        runner = self.placement.prefill_candidate(
            self.fleet.registrations, engine.zone, on_time_until - monotonic()
        )
        if runner is None:
            return False
        source = self.fleet.engine_by_runner[runner.key]
        queued = self._load_at(runner.key).prefill_tokens
        started_at = monotonic()
        with self.in_progress.prefill(runner.key, arrival.prompt):
            await source.prefill(arrival.prompt)
        if queued == 0:
            self.placement.update_prefill_rate(arrival.prompt, monotonic() - started_at)
        self.fleet.tokens_transferred += arrival.prompt
        self.fleet.tokens_across_zones += arrival.prompt * (source.zone != engine.zone)
        await asyncio.sleep(engine.transfer_s(arrival.prompt, source.zone))
        return True


def _registration(engine: Engine) -> Registration:
    return Registration(
        RunnerKey(RunnerName(engine.name), StartedAt(0)),
        ServiceName("model"),
        Address(engine.name),
        engine.zone,
        engine.speed.batch,
        False,
        1,
        Stage.DECODE if engine.decodes else Stage.PREFILL,
        SoftwareVersion("v1"),
    )
