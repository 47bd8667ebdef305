"""Tables and plots of the simulated cases."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from statistics import mean

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from .experiment import WINDOW_S, Result

HEADER = (
    f"{'deployment':16}{'load':>5} {'policy':18}{'worth':>6} {'(lowest, highest)':18}"
    f"{'worst':>6}{'on time':>8}{'late':>6}{'refused':>8}{'largest':>8}"
    f"{'in vain':>8}{'preempted':>10}"
)


@dataclass(slots=True)
class Case:
    """One policy at one load, with a result for each seed."""

    deployment: str
    load: float
    policy: str
    results: list[Result] = field(default_factory=list)

    def mean(self, measure: str) -> float:
        """Return the mean of an attribute of `Result` over the seeds."""
        return mean(float(getattr(result, measure)) for result in self.results)


def print_header() -> None:
    """Print the table header."""
    print(HEADER, flush=True)


def print_row(case: Case) -> None:
    """Print the table row of one case."""
    worths = [result.worth for result in case.results]
    spread = f"({min(worths):.3f}, {max(worths):.3f})"
    print(
        f"{case.deployment:16}{case.load:5.2f} {case.policy:18}"
        f"{case.mean('worth'):6.3f} {spread:18}{case.mean('worst_windows'):6.3f}"
        f"{case.mean('on_time'):8.3f}{case.mean('late'):6.3f}"
        f"{case.mean('refused'):8.3f}{case.mean('largest_served'):8.3f}"
        f"{case.mean('read_in_vain'):8.3f}{case.mean('preempted'):10.1f}",
        flush=True,
    )


def write_plot(path: Path, deployment: str, cases: list[Case]) -> None:
    """Plot the worth earned over time as a PNG file, with one panel for each load."""
    chosen = [case for case in cases if case.deployment == deployment]
    loads = sorted({case.load for case in chosen})
    figure, grid = pyplot.subplots(
        len(loads), 1, figsize=(9, 3 * len(loads)), sharex=True, squeeze=False
    )
    for axes, load in zip(grid[:, 0], loads, strict=True):
        for case in chosen:
            if case.load == load:
                series = zip(*(r.worth_by_window for r in case.results), strict=False)
                worths = [mean(window) for window in series]
                seconds = [WINDOW_S * number for number in range(len(worths))]
                axes.plot(seconds, worths, label=case.policy)
        axes.set_title(f"{deployment}, load {load}", fontsize=8)
        axes.set_ylabel("worth earned / worth of all arrivals")
    grid[0, 0].legend(fontsize=7)
    grid[-1, 0].set_xlabel("seconds since the start")
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
