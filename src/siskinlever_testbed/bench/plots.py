"""Plots the results of the benchmark."""

from __future__ import annotations

from collections import defaultdict
from pathlib import Path
from statistics import mean
from typing import Any

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from .accounting import Details, Row

POLICIES = ("siskinlever", "bounded", "naive")
BAR_WIDTH = 0.27


def write_plots(output: Path, measured: list[tuple[Row, Details]]) -> None:
    """Write the plots to the output directory as PNG files."""
    for workload in sorted({row.workload for row, _ in measured}):
        workload_runs = [(row, d) for row, d in measured if row.workload == workload]
        rows = [row for row, _ in workload_runs]
        _plot_bars(output, workload, rows, "goodput", "goodput / limit")
        _plot_bars(output, workload, rows, "wasted_prefill", "wasted share of prefill")
        _plot_over_time(output, workload, workload_runs)


def _plot_bars(
    output: Path, workload: str, rows: list[Row], metric: str, label: str
) -> None:
    scenarios = list(dict.fromkeys(row.scenario for row in rows))
    figure, axes = pyplot.subplots(figsize=(9, 4))
    for policy_index, policy in enumerate(POLICIES):
        values_by_scenario: dict[str, list[float]] = defaultdict(list)
        for row in rows:
            if row.policy == policy:
                values_by_scenario[row.scenario].append(_value(row, metric))
        plotted_scenarios = [s for s in scenarios if s in values_by_scenario]
        means = [mean(values_by_scenario[s]) for s in plotted_scenarios]
        error_bars = [
            [
                m - min(values_by_scenario[s])
                for s, m in zip(plotted_scenarios, means, strict=True)
            ],
            [
                max(values_by_scenario[s]) - m
                for s, m in zip(plotted_scenarios, means, strict=True)
            ],
        ]
        positions = [
            scenarios.index(s) + (policy_index - 1) * BAR_WIDTH
            for s in plotted_scenarios
        ]
        axes.bar(positions, means, BAR_WIDTH, yerr=error_bars, label=policy)
    axes.set_xticks(range(len(scenarios)), scenarios, rotation=20)
    axes.set_ylabel(label)
    axes.legend()
    _save(figure, output / f"{metric}-{workload}.png")


def _value(row: Row, metric: str) -> float:
    if metric == "goodput":
        return row.goodput / row.limit
    return float(getattr(row, metric))


def _plot_over_time(
    output: Path, workload: str, workload_runs: list[tuple[Row, Details]]
) -> None:
    scenarios = list(dict.fromkeys(row.scenario for row, _ in workload_runs))
    figure, grid = pyplot.subplots(
        len(scenarios), 1, figsize=(9, 2.2 * len(scenarios)), sharex=True, squeeze=False
    )
    for axes, scenario in zip(grid[:, 0], scenarios, strict=True):
        for policy in POLICIES:
            series = [
                details.goodput_by_second
                for row, details in workload_runs
                if row.scenario == scenario and row.policy == policy
            ]
            if series:
                axes.plot([mean(v) for v in zip(*series, strict=True)], label=policy)
        axes.set_title(scenario, fontsize=8)
        axes.set_ylabel("worth / s")
    grid[0, 0].legend(fontsize=7)
    grid[-1, 0].set_xlabel("seconds since the start")
    _save(figure, output / f"goodput-over-time-{workload}.png")


def _save(figure: Any, path: Path) -> None:
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
