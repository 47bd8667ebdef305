"""Simulates one policy with the arrivals of one seed."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, replace

from siskinlever._internal.models.routes import EngineSpec
from siskinlever._internal.utils.clock import monotonic

from .arrivals import draw
from .deployments import Deployment, Leaving
from .engines import Engine, EngineSpeed
from .policies import Policy
from .serving import Fleet, Outcome, OutcomeKind
from .virtual_time import VirtualTimeLoop

# Seconds to wait after the last arrival. Longer than the callers' timeout and deadline
# in `Objectives`, so the caller of a generation that is unfinished by then is assumed
# to have disconnected.
SETTLE_S = 20.0
WINDOW_S = 2
SERVED = (OutcomeKind.ON_TIME, OutcomeKind.LATE)


@dataclass(frozen=True, slots=True)
class Result:
    """What callers received in one run.

    Parameters
    ----------
    worth : float
        Worth earned, as a share of the worth of all arrivals.
    worst_windows : float
        Mean of the same share over the two worst windows of two seconds.
    on_time, late, refused : float
        Shares of the generations. Those whose callers disconnected count as refused.
    largest_served : float
        Share of the largest tenth, by worth, that was served on time or late.
    read_in_vain : float
        Share of the prefilled tokens that no served generation needed.
    preempted : int
        Number of preemptions.
    urgent_on_time, urgent_served : float
        Shares of the generations of the more urgent route that were served on time,
        and on time or late; 1.0 if there is one route.
    held_then_refused : int
        Number of refusals after three quarters of a caller's time for the first event.
    holds_refused : int
        Number of reservations that engines refused.
    across_zones : float
        Share of the tokens transferred between engines that crossed zones.
    worth_by_window : tuple of float
        Share of worth earned in each window of two seconds with arrivals.
    """

    worth: float
    worst_windows: float
    on_time: float
    late: float
    refused: float
    largest_served: float
    read_in_vain: float
    preempted: int
    urgent_on_time: float
    urgent_served: float
    held_then_refused: int
    holds_refused: int
    across_zones: float
    worth_by_window: tuple[float, ...]


def simulate(deployment: Deployment, policy: Policy, seed: int, load: float) -> Result:
    """Simulate a deployment for the duration of its arrivals, in virtual time.

    Parameters
    ----------
    deployment : Deployment
    policy : Policy
    seed : int
        Seed of the arrivals and of the callers' choice of hosts.
    load : float
        Multiple of the usual rate of arrivals.
    """
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(_simulate(deployment, policy, seed, load))
    finally:
        loop.finish()


async def _simulate(
    deployment: Deployment, policy: Policy, seed: int, load: float
) -> Result:
    engines = _engines(deployment)
    fleet = Fleet(
        engines,
        [deployment.zone(number) for number in range(deployment.hosts)],
        _engine_spec(deployment),
        (deployment.objectives, deployment.urgent_objectives or deployment.objectives),
        policy,
        seed,
    )
    arrivals = replace(
        deployment.arrivals, rate_per_s=deployment.arrivals.rate_per_s * load
    )
    started_at = monotonic()
    if deployment.leaving is not None:
        _schedule_leaving(fleet, engines, deployment.leaving)
    arrival_by_task = {}
    with _background_tasks(fleet, engines):
        for arrival in draw(arrivals, seed):
            await asyncio.sleep(max(0.0, started_at + arrival.at_s - monotonic()))
            arrival_by_task[asyncio.create_task(fleet.serve(arrival))] = arrival
        finished, unfinished = await asyncio.wait(arrival_by_task, timeout=SETTLE_S)
    for task in finished:
        task.result()
    for task in unfinished:
        fleet.outcomes.append(Outcome(arrival_by_task[task], OutcomeKind.DISCONNECTED))
    return _result(fleet, arrivals.length_s)


def _schedule_leaving(
    fleet: Fleet, engines: Sequence[Engine], leaving: Leaving
) -> None:
    loop = asyncio.get_running_loop()
    for number in leaving.engines:
        engine = engines[number]
        loop.call_later(leaving.from_s, engine.leave)
        loop.call_later(leaving.until_s, fleet.remove, engine)


@contextmanager
def _background_tasks(fleet: Fleet, engines: Sequence[Engine]) -> Iterator[None]:
    tasks = [asyncio.create_task(engine.run_steps()) for engine in engines]
    tasks.append(asyncio.create_task(fleet.exchange_loads()))
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()


def _engines(deployment: Deployment) -> list[Engine]:
    return [
        Engine(
            f"engine-{number}",
            deployment.zone(number),
            _speed(deployment, number),
            number >= deployment.prefill_engines,
            monotonic,
        )
        for number in range(deployment.engines)
    ]


def _speed(deployment: Deployment, number: int) -> EngineSpeed:
    factor = deployment.speed_pattern[number % len(deployment.speed_pattern)]
    speed = deployment.speed
    return replace(
        speed,
        step_ms=speed.step_ms / factor,
        step_ms_per_run=speed.step_ms_per_run / factor,
        prefill_tokens_per_ms=speed.prefill_tokens_per_ms * factor,
    )


def _engine_spec(deployment: Deployment) -> EngineSpec:
    speed = deployment.speed
    return EngineSpec(
        slots=speed.batch,
        kv_capacity=speed.capacity,
        handle_lifetime_s=speed.handle_ttl_s,
        stage_switch_s=deployment.stage_switch_s,
        max_hold_s=deployment.max_hold_s,
    )


def _result(fleet: Fleet, length_s: float) -> Result:
    outcomes = fleet.outcomes
    by_size = sorted(outcomes, key=lambda outcome: outcome.arrival.worth)
    largest = by_size[-max(1, len(outcomes) // 10) :]
    urgent = [outcome for outcome in outcomes if outcome.arrival.is_urgent]
    windows = [
        _worth(fleet, arrived)
        for start in range(0, int(length_s), WINDOW_S)
        if (arrived := _arrived_in_window(outcomes, start))
    ]
    prefilled = sum(
        engine.tokens_prefilled for engine in fleet.engine_by_runner.values()
    )
    needed = sum(o.arrival.prompt for o in outcomes if o.kind in SERVED)
    return Result(
        worth=_worth(fleet, outcomes),
        worst_windows=sum(sorted(windows)[:2]) / 2,
        on_time=_share(outcomes, OutcomeKind.ON_TIME),
        late=_share(outcomes, OutcomeKind.LATE),
        refused=_share(outcomes, OutcomeKind.REFUSED, OutcomeKind.DISCONNECTED),
        largest_served=_share(largest, *SERVED),
        read_in_vain=max(0.0, 1 - needed / prefilled),
        preempted=sum(engine.preempted for engine in fleet.engine_by_runner.values()),
        urgent_on_time=_share(urgent, OutcomeKind.ON_TIME) if urgent else 1.0,
        urgent_served=_share(urgent, *SERVED) if urgent else 1.0,
        held_then_refused=fleet.held_then_refused,
        holds_refused=fleet.holds_refused,
        across_zones=fleet.tokens_across_zones / max(1, fleet.tokens_transferred),
        worth_by_window=tuple(windows),
    )


def _arrived_in_window(outcomes: Sequence[Outcome], start_s: float) -> list[Outcome]:
    end_s = start_s + WINDOW_S
    return [o for o in outcomes if start_s <= o.arrival.at_s < end_s]


def _share(outcomes: Sequence[Outcome], *kinds: OutcomeKind) -> float:
    return sum(outcome.kind in kinds for outcome in outcomes) / len(outcomes)


def _worth(fleet: Fleet, outcomes: Sequence[Outcome]) -> float:
    total = sum(o.arrival.worth for o in outcomes)
    return sum(o.arrival.worth * _worth_share(fleet, o) for o in outcomes) / total


def _worth_share(fleet: Fleet, outcome: Outcome) -> float:
    worth_share_by_kind = {
        OutcomeKind.ON_TIME: 1.0,
        OutcomeKind.LATE: fleet.objectives_of(outcome.arrival).late_worth,
    }
    return worth_share_by_kind.get(outcome.kind, 0.0)
