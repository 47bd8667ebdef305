"""Runs the benchmark; prints its table and writes its rows and plots.

Usage:
  bench [options]

Options:
  --quick               One seed and a shorter window; without --scenarios,
                        only load-1.0 and load-1.5.
  --scenarios=NAMES     Scenarios, separated by commas [default: all].
  --workloads=NAMES     Workloads, separated by commas [default: atelier,brosur].
  --policies=NAMES      Policies, separated by commas
                        [default: siskinlever,naive,bounded].
  --seeds=NUMBERS       Seeds of the arrivals, separated by commas [default: 1,2,3].
  --warmup=SECONDS      Seconds at the start that are not counted [default: 5].
  --window=SECONDS      Seconds that are counted after the warm-up [default: 12].
  --serial              Run one fleet at a time, in this process.
  --output=DIRECTORY    Directory for the rows and plots [default: build].
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
import time
from dataclasses import asdict
from pathlib import Path
from typing import Any

from docopt import docopt

from .accounting import Details, Row, Window
from .direct import measure_overhead
from .experiment import Experiment, run_experiment
from .plots import write_plots
from .scenarios import QUICK_SCENARIOS, SCENARIO_BY_NAME
from .table import print_header, print_row, print_summary
from .workloads import WORKLOAD_BY_NAME

QUICK_SEEDS = (1,)
QUICK_WINDOW = Window(5.0, 13.0)

ROWS_FILE = "bench.json"
DETAILS_FILE = "bench-details.json"

MeasuredRuns = list[tuple[Row, Details]]


async def run(argv: list[str]) -> int:
    """Run the selected experiments and return the exit code.

    It is 1 if a request was lost, answered twice or run twice, and 2 for an
    unknown name.
    """
    options = docopt(__doc__ or "", argv=argv)
    experiments = _parse_experiments(options)
    if experiments is None:
        return 2
    started_at = time.monotonic()
    print(f"load average before: {os.getloadavg()[0]:.1f}", flush=True)
    print_header()
    output = Path(options["--output"])
    measured: MeasuredRuns = []
    for group in _group_experiments(experiments, options["--serial"]):
        finished = await asyncio.gather(*(_measure(e, len(group)) for e in group))
        for row, details in finished:
            print_row(row, details)
        measured += finished
        _write_reports(output, measured)
    write_plots(output, measured)
    overhead = await measure_overhead() if len(measured) > 1 else None
    print_summary(measured, overhead)
    print(f"load average after: {os.getloadavg()[0]:.1f}")
    print(f"{len(measured)} runs in {time.monotonic() - started_at:.0f} s: {output}")
    violations = [row for row, _ in measured if row.lost or row.doubled]
    return 1 if violations else 0


async def _measure(experiment: Experiment, concurrent_runs: int) -> tuple[Row, Details]:
    with tempfile.TemporaryDirectory() as directory:
        if concurrent_runs == 1:
            return await run_experiment(experiment, Path(directory))
        return await _measure_in_subprocess(experiment, Path(directory))


async def _measure_in_subprocess(
    experiment: Experiment, directory: Path
) -> tuple[Row, Details]:
    """Run in a subprocess, so that load generators do not delay each other."""
    window = experiment.window
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "siskinlever_testbed",
        "bench",
        f"--scenarios={experiment.scenario.name}",
        f"--workloads={experiment.workload.name}",
        f"--policies={experiment.policy}",
        f"--seeds={experiment.seed}",
        f"--warmup={window.start_s}",
        f"--window={window.end_s - window.start_s}",
        "--serial",
        f"--output={directory}",
        stdout=asyncio.subprocess.DEVNULL,
    )
    await process.wait()
    (row,) = json.loads((directory / ROWS_FILE).read_text())
    (details,) = json.loads((directory / DETAILS_FILE).read_text())
    fields = {name: details[name] for name in Details.__dataclass_fields__}
    return Row(**row), Details(**fields)


def _parse_experiments(options: dict[str, Any]) -> list[Experiment] | None:
    """Return the selected experiments.

    Prints unknown names to stderr and returns None if there are any.
    """
    quick = options["--quick"]
    scenarios = _split_names(options["--scenarios"])
    if scenarios == ["all"]:
        scenarios = list(QUICK_SCENARIOS if quick else SCENARIO_BY_NAME)
    workloads = _split_names(options["--workloads"])
    policies = _split_names(options["--policies"])
    for option, names, allowed in (
        ("--scenarios", scenarios, list(SCENARIO_BY_NAME)),
        ("--workloads", workloads, list(WORKLOAD_BY_NAME)),
        ("--policies", policies, ["siskinlever", "naive", "bounded"]),
    ):
        unknown = [name for name in names if name not in allowed]
        if unknown:
            print(f"{option}: found {unknown}, allowed: {allowed}", file=sys.stderr)
            return None
    seeds = QUICK_SEEDS if quick else [int(s) for s in _split_names(options["--seeds"])]
    warmup_s = float(options["--warmup"])
    window = Window(warmup_s, warmup_s + float(options["--window"]))
    return [
        Experiment(
            SCENARIO_BY_NAME[scenario],
            WORKLOAD_BY_NAME[workload],
            policy,
            seed,
            QUICK_WINDOW if quick else window,
        )
        for scenario in scenarios
        for seed in seeds
        for policy in policies
        for workload in workloads
    ]


def _group_experiments(
    experiments: list[Experiment], serial: bool
) -> list[list[Experiment]]:
    """Return groups of experiments that run concurrently.

    A group holds the workloads of one scenario, policy and seed.
    """
    if serial:
        return [[experiment] for experiment in experiments]
    groups: dict[tuple[str, str, int], list[Experiment]] = {}
    for experiment in experiments:
        key = (experiment.scenario.name, experiment.policy, experiment.seed)
        groups.setdefault(key, []).append(experiment)
    return list(groups.values())


def _split_names(option: str) -> list[str]:
    return [name.strip() for name in option.split(",") if name.strip()]


def _write_reports(output: Path, measured: MeasuredRuns) -> None:
    output.mkdir(parents=True, exist_ok=True)
    rows = [asdict(row) for row, _ in measured]
    (output / ROWS_FILE).write_text(json.dumps(rows, indent=2) + "\n")
    details = [
        {"scenario": r.scenario, "workload": r.workload, "policy": r.policy}
        | {"seed": r.seed}
        | asdict(d)
        for r, d in measured
    ]
    (output / DETAILS_FILE).write_text(json.dumps(details, indent=2) + "\n")
