"""Computes report rows from the callers' results and the engines' record entries."""

from __future__ import annotations

import os
from collections import Counter
from dataclasses import dataclass
from typing import Any

from hdrh.histogram import HdrHistogram

from siskinlever._internal.utils.digests import content_digest

from ..fleet import Fleet
from .generator import Result
from .workloads import PER_TOKEN_TARGET_S, Workload

US_PER_S = 1_000_000
MAX_LATENCY_US = 60 * US_PER_S


@dataclass(frozen=True, slots=True)
class Row:
    """Measurements of one run, as written to the report.

    Parameters
    ----------
    goodput : float
        Worth per second of the answers that met their targets.
    wasted_prefill : float
        Share of the prefilled tokens whose request got no correct answer or
        whose attempt did not finish.
    late_prefill : float
        Share of the prefilled tokens whose request was answered correctly, but with
        a late first token. Wasted tokens are not included.
    ttft_p95_s : float
        95th percentile of the time to first token, in seconds.
    tpot_p95_s : float
        95th percentile of the time per output token, in seconds.
    limit : float
        Upper bound of `goodput` at the offered load.
    answered : int
        Requests with a correct answer.
    refused : int
        Requests whose outcome was `not_run`.
    lost : int
        Requests with no outcome or a wrong answer.
    doubled : int
        Repeated answers, plus repeated runs of calls that are not idempotent.
    """

    scenario: str
    workload: str
    policy: str
    seed: int
    goodput: float
    wasted_prefill: float
    late_prefill: float
    ttft_p95_s: float
    tpot_p95_s: float
    limit: float
    answered: int
    refused: int
    lost: int
    doubled: int


@dataclass(frozen=True, slots=True)
class Details:
    """Further measurements of one run, written to the details file.

    Parameters
    ----------
    goodput_by_second : list of float
        Worth of the answers that met their targets, by the second of the run
        in which they ended.
    failed : int
        Requests whose outcome was `may_have_run`.
    goodput_by_kind : dict
        Total worth of the answers that met their targets, by kind of request.
    generator_lag_s : float
        Longest delay of the load generator's event loop, in seconds.
    load_average : float
        One-minute load average of the machine at the end of the run.
    disturbed_at_s : float
        Start of the scenario's disturbance, in seconds since the start of the
        run.
    """

    goodput_by_second: list[float]
    failed: int
    goodput_by_kind: dict[str, float]
    generator_lag_s: float
    load_average: float
    disturbed_at_s: float


@dataclass(frozen=True, slots=True)
class Window:
    """Part of a run that counts for goodput and latencies, in seconds since its start.

    `end_s` itself is excluded.
    """

    start_s: float
    end_s: float

    def contains(self, at_s: float) -> bool:
        return self.start_s <= at_s < self.end_s


def meets_targets(result: Result) -> bool:
    """Return whether the answer is correct and met both latency targets."""
    return (
        result.correct
        and result.first_token_s <= result.arrival.kind.first_token_target_s
        and result.per_token_s <= PER_TOKEN_TARGET_S
    )


def goodput(results: list[Result], window: Window) -> float:
    """Return the worth per second of answers that met their targets.

    Only answers that ended within the window count.
    """
    worth = sum(
        result.arrival.kind.worth
        for result in results
        if meets_targets(result) and window.contains(result.ended_at_s)
    )
    return worth / (window.end_s - window.start_s)


def prefill_shares(
    results: list[Result], entries: list[dict[str, Any]], workload: Workload
) -> tuple[float, float]:
    """Return the wasted and the late share of the prefilled tokens.

    Both are 0 if no tokens were prefilled.

    Parameters
    ----------
    entries : list of dict
        Record entries of all engines of the pool.
    """
    result_by_digest = {
        content_digest(f"{workload.name}/{r.arrival.request_id}".encode())[:16]: r
        for r in results
    }
    finished = {f["request_id"] for f in entries if f["fact"] == "finished"}
    total = wasted = late = 0
    for entry in entries:
        if entry["fact"] != "prefilled":
            continue
        total += entry["tokens"]
        result = result_by_digest[entry["request_id"].split("~")[2]]
        if not result.correct or entry["request_id"] not in finished:
            wasted += entry["tokens"]
        elif result.first_token_s > result.arrival.kind.first_token_target_s:
            late += entry["tokens"]
    return (wasted / total, late / total) if total else (0.0, 0.0)


def lost_requests(results: list[Result]) -> list[Result]:
    """Return requests without an outcome or with a wrong answer.

    Requests that their caller cancelled are left out.
    """
    return [
        r
        for r in results
        if not r.cancelled
        and (not r.reply.outcome or (r.completions > 0 and not r.correct))
    ]


def duplicate_count(
    results: list[Result], service_entries: list[dict[str, Any]]
) -> int:
    """Count requests answered more than once and repeated runs of service calls.

    `service_entries` is empty for an idempotent service, which may run a call
    more than once.
    """
    runs = Counter(f["request_id"] for f in service_entries if f["fact"] == "ran")
    return sum(r.completions > 1 for r in results) + sum(
        n - 1 for n in runs.values() if n > 1
    )


def slots_exceeded(entries: list[dict[str, Any]], slots: int) -> int:
    """Return the largest number of requests by which an engine exceeded its slots."""
    max_excess = 0
    held_by_runner: Counter[str] = Counter()
    change_by_fact = {"held": 1, "released": -1}
    for entry in sorted(entries, key=lambda f: f["at"]):
        held_by_runner[entry["runner"]] += change_by_fact.get(entry["fact"], 0)
        max_excess = max(max_excess, held_by_runner[entry["runner"]] - slots)
    return max_excess


def percentile_s(values_s: list[float], percent: float) -> float:
    """Return a percentile of latencies in seconds, each limited to 60 s."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    for value in values_s:
        histogram.record_value(min(max(int(value * US_PER_S), 1), MAX_LATENCY_US))
    return float(histogram.get_value_at_percentile(percent)) / US_PER_S


def latencies(results: list[Result], window: Window) -> tuple[list[float], list[float]]:
    """Return first-token and per-token times of requests due within a window.

    Only correct answers of models count. Deferrable requests have a deadline
    instead of a first-token target, so only the per-token times include them.
    """
    answered = [
        r
        for r in results
        if r.correct and not r.arrival.kind.service and window.contains(r.arrival.at_s)
    ]
    first = [r.first_token_s for r in answered if not r.arrival.kind.deferrable]
    return first, [r.per_token_s for r in answered]


def make_row(
    run_key: tuple[str, str, int],
    results: list[Result],
    window: Window,
    fleet: Fleet,
    workload: Workload,
    limit: float,
) -> Row:
    """Compute the report row of one run.

    Parameters
    ----------
    run_key : tuple
        Scenario, policy and seed.
    limit : float
        Upper bound of the goodput, in worth per second.
    """
    entries = fleet.records(workload.engines.pool)
    wasted, late = prefill_shares(results, entries, workload)
    first, per_token = latencies(results, window)
    scenario, policy, seed = run_key
    service = workload.service
    runs = [] if service.idempotent else fleet.records(service.name)
    return Row(
        scenario=scenario,
        workload=workload.name,
        policy=policy,
        seed=seed,
        goodput=round(goodput(results, window), 3),
        wasted_prefill=round(wasted, 4),
        late_prefill=round(late, 4),
        ttft_p95_s=round(percentile_s(first, 95), 4),
        tpot_p95_s=round(percentile_s(per_token, 95), 4),
        limit=round(limit, 3),
        answered=sum(r.correct for r in results),
        refused=sum(r.reply.outcome == "not_run" for r in results),
        lost=len(lost_requests(results)),
        doubled=duplicate_count(results, runs),
    )


def make_details(results: list[Result], window: Window, lag_s: float) -> Details:
    """Compute the further measurements of one run.

    `lag_s` is the longest delay of the generator's event loop, in seconds.
    """
    duration_s = window.end_s
    by_second = [0.0] * (int(duration_s) + 1)
    by_kind: Counter[str] = Counter()
    for result in results:
        if not meets_targets(result) or result.ended_at_s >= duration_s:
            continue
        by_second[int(result.ended_at_s)] += result.arrival.kind.worth
        by_kind[result.arrival.kind.name] += result.arrival.kind.worth  # type: ignore[assignment]
    failed = sum(r.reply.outcome == "may_have_run" for r in results)
    load_average = os.getloadavg()[0]
    return Details(
        goodput_by_second=by_second,
        failed=failed,
        goodput_by_kind=dict(by_kind),
        generator_lag_s=round(lag_s, 4),
        load_average=load_average,
        disturbed_at_s=window.start_s,
    )
