"""Simulates placement policies under load and prints what callers receive.

Usage:
  model [--deployments=NAMES] [--policies=NAMES] [--loads=FACTORS] [--seeds=N]
        [--output=DIRECTORY]

Options:
  --deployments=NAMES  Comma-separated list [default: ramdin-atelier,brosur-kl].
  --policies=NAMES     Comma-separated list; all by default.
  --loads=FACTORS      Multiples of the usual arrival rate [default: 1.0,1.5].
  --seeds=N            Number of runs per case [default: 4].
  --output=DIRECTORY   Directory for the plots [default: build/model].
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from docopt import docopt

from .deployments import DEPLOYMENT_BY_NAME
from .experiment import simulate
from .policies import POLICY_BY_NAME
from .report import Case, print_header, print_row, write_plot


async def run(argv: list[str]) -> int:
    """Simulate the selected cases; return the exit code, 2 for invalid options."""
    options = docopt(__doc__ or "", argv=argv)
    # The simulation runs a separate event loop in virtual time, so it needs a thread.
    return await asyncio.to_thread(_run, options)


def _run(options: dict[str, Any]) -> int:
    try:
        cases = _select_cases(options)
        seeds = _parse_numbers(options, "--seeds", int)[0]
    except ValueError as error:
        print(error, file=sys.stderr)
        return 2
    print_header()
    for case in cases:
        deployment = DEPLOYMENT_BY_NAME[case.deployment]
        policy = POLICY_BY_NAME[case.policy]
        case.results += [
            simulate(deployment, policy, n, case.load) for n in range(seeds)
        ]
        print_row(case)
    output = Path(options["--output"])
    output.mkdir(parents=True, exist_ok=True)
    for name in dict.fromkeys(case.deployment for case in cases):
        write_plot(output / f"{name}.png", name, cases)
    print(f"plots: {output}")
    return 0


def _select_cases(options: dict[str, Any]) -> list[Case]:
    """Return the cases to simulate.

    Raises `ValueError` with the name of an invalid option.
    """
    deployments = _parse_names(options, "--deployments", DEPLOYMENT_BY_NAME)
    policies = _parse_names(options, "--policies", POLICY_BY_NAME)
    loads = _parse_numbers(options, "--loads", float)
    return [
        Case(deployment, load, policy)
        for deployment in deployments
        for load in loads
        for policy in policies
    ]


def _parse_names(
    options: dict[str, Any], option: str, known: Mapping[str, Any]
) -> list[str]:
    names = options[option].split(",") if options[option] else list(known)
    unknown = sorted(set(names) - known.keys())
    if unknown:
        raise ValueError(f"{option}: found {unknown}, allowed: {sorted(known)}")
    return names


def _parse_numbers(
    options: dict[str, Any], option: str, type_: Callable[[str], float]
) -> list[Any]:
    try:
        numbers = [type_(text) for text in options[option].split(",")]
    except ValueError:
        numbers = []
    if not numbers or min(numbers) <= 0:
        found = options[option]
        raise ValueError(f"{option}: found {found!r}, expected positive numbers")
    return numbers
