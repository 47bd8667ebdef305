"""Prints the rows of the benchmark and its summary over the seeds."""

from __future__ import annotations

from collections import defaultdict
from statistics import mean

from .accounting import Details, Row
from .direct import Overhead
from .scenarios import SCENARIO_BY_NAME

HEADER = (
    f"{'scenario':18}{'workload':9}{'policy':12}{'seed':>4}{'goodput':>9}{'limit':>8}"
    f"{'share':>7}{'wasted':>8}{'late':>7}{'ttft95':>8}{'tpot95':>8}{'answ':>6}"
    f"{'refus':>6}{'fail':>5}{'lost':>5}{'dbl':>4}{'lag':>7}{'load':>6}"
)


def print_header() -> None:
    """Print the column headers."""
    print(HEADER, flush=True)


def print_row(row: Row, details: Details) -> None:
    """Print the row of one run."""
    print(
        f"{row.scenario:18}{row.workload:9}{row.policy:12}{row.seed:4}"
        f"{row.goodput:9.2f}{row.limit:8.2f}{row.goodput / row.limit:7.3f}"
        f"{row.wasted_prefill:8.4f}{row.late_prefill:7.4f}{row.ttft_p95_s:8.3f}"
        f"{row.tpot_p95_s:8.4f}{row.answered:6}{row.refused:6}{details.failed:5}"
        f"{row.lost:5}{row.doubled:4}{details.generator_lag_s:7.3f}"
        f"{details.load_average:6.1f}",
        flush=True,
    )


def print_summary(
    measured: list[tuple[Row, Details]], overhead: Overhead | None
) -> None:
    """Print the mean and the range over the seeds, and the overhead if measured."""
    rows_by_case: dict[tuple[str, str, str], list[Row]] = defaultdict(list)
    for row, _ in measured:
        rows_by_case[row.scenario, row.workload, row.policy].append(row)
    print("\nover the seeds: goodput over limit (lowest to highest), wasted, late")
    for (scenario, workload, policy), rows in rows_by_case.items():
        shares = [row.goodput / row.limit for row in rows]
        print(
            f"{scenario:18}{workload:9}{policy:12}{mean(shares):7.3f} "
            f"({min(shares):.3f} to {max(shares):.3f})"
            f"{mean(r.wasted_prefill for r in rows):8.4f}"
            f"{mean(r.late_prefill for r in rows):8.4f}"
        )
    _print_disturbed(measured)
    if overhead is not None:
        print(
            f"\nfirst token at low load, median: router {overhead.routed_s * 1e3:.1f} "
            f"ms, engines directly {overhead.direct_s * 1e3:.1f} ms, added "
            f"{overhead.added_s * 1e3:.1f} ms (target: at most 5 ms)"
        )


def _print_disturbed(measured: list[tuple[Row, Details]]) -> None:
    """Print the worth in each second of the runs with a disturbance."""
    disturbed = [
        (row, details)
        for row, details in measured
        if SCENARIO_BY_NAME[row.scenario].disturbance is not None
    ]
    if disturbed:
        print("\nworth per second of answers on target; | marks the disturbance")
    for row, details in disturbed:
        start = int(details.disturbed_at_s)
        seconds = [f"{worth:.0f}" for worth in details.goodput_by_second]
        marked = " ".join([*seconds[:start], "|", *seconds[start:]])
        print(f"{row.scenario:18}{row.workload:9}{row.policy:12}{row.seed:4} {marked}")
