"""Draws the rows of a measurement."""

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
    """Write the plots as PNG files."""
    for workload in sorted({row.workload for row, _ in measured}):
        chosen = [(row, d) for row, d in measured if row.workload == workload]
        rows = [row for row, _ in chosen]
        _bars(output, workload, rows, "goodput", "goodput / limit")
        _bars(output, workload, rows, "wasted_prefill", "wasted share of prefill")
        _over_time(output, workload, chosen)


def _bars(
    output: Path, workload: str, rows: list[Row], measure: str, label: str
) -> None:
    scenarios = list(dict.fromkeys(row.scenario for row in rows))
    figure, axes = pyplot.subplots(figsize=(9, 4))
    for place, policy in enumerate(POLICIES):
        values_by_scenario: dict[str, list[float]] = defaultdict(list)
        for row in rows:
            if row.policy == policy:
                values_by_scenario[row.scenario].append(_value(row, measure))
        drawn = [s for s in scenarios if s in values_by_scenario]
        middle = [mean(values_by_scenario[s]) for s in drawn]
        spread = [
            [
                m - min(values_by_scenario[s])
                for s, m in zip(drawn, middle, strict=True)
            ],
            [
                max(values_by_scenario[s]) - m
                for s, m in zip(drawn, middle, strict=True)
            ],
        ]
        positions = [scenarios.index(s) + (place - 1) * BAR_WIDTH for s in drawn]
        axes.bar(positions, middle, BAR_WIDTH, yerr=spread, label=policy)
    axes.set_xticks(range(len(scenarios)), scenarios, rotation=20)
    axes.set_ylabel(label)
    axes.legend()
    _save(figure, output / f"{measure}-{workload}.png")


def _value(row: Row, measure: str) -> float:
    if measure == "goodput":
        return row.goodput / row.limit
    return float(getattr(row, measure))


def _over_time(output: Path, workload: str, chosen: list[tuple[Row, Details]]) -> None:
    scenarios = list(dict.fromkeys(row.scenario for row, _ in chosen))
    figure, grid = pyplot.subplots(
        len(scenarios), 1, figsize=(9, 2.2 * len(scenarios)), sharex=True, squeeze=False
    )
    for axes, scenario in zip(grid[:, 0], scenarios, strict=True):
        for policy in POLICIES:
            series = [
                details.goodput_by_second
                for row, details in chosen
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
