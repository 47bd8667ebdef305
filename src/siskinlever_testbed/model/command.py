"""Plays variants of the decisions over arrivals and prints what callers get.

Usage:
  model [--deployments=NAMES] [--policies=NAMES] [--loads=FACTORS] [--seeds=N]
        [--output=DIRECTORY]

Options:
  --deployments=NAMES  Separated by commas [default: ramdin-atelier,brosur-kl].
  --policies=NAMES     Separated by commas; all if absent.
  --loads=FACTORS      Times the usual rate [default: 1.0,1.5].
  --seeds=N            Runs of each case [default: 4].
  --output=DIRECTORY   Where the plots go [default: build/model].
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

from docopt import docopt

from .deployments import DEPLOYMENT_BY_NAME
from .experiment import play
from .policies import POLICY_BY_NAME
from .report import Case, print_header, print_row, write_plot


async def run(argv: list[str]) -> int:
    """Play the cases chosen; return the exit code."""
    options = docopt(__doc__ or "", argv=argv)
    # The model has an event loop of its own, in virtual time.
    return await asyncio.to_thread(_run, options)


def _run(options: dict[str, Any]) -> int:
    deployments = options["--deployments"].split(",")
    policies = (options["--policies"] or ",".join(POLICY_BY_NAME)).split(",")
    for option, names, known in (
        ("--deployments", deployments, DEPLOYMENT_BY_NAME),
        ("--policies", policies, POLICY_BY_NAME),
    ):
        unknown = sorted(set(names) - known.keys())
        if unknown:
            print(
                f"{option}: found {unknown}, allowed: {sorted(known)}", file=sys.stderr
            )
            return 2
    try:
        loads = [float(load) for load in options["--loads"].split(",")]
        seeds = int(options["--seeds"])
    except ValueError as error:
        print(f"--loads and --seeds take numbers: {error}", file=sys.stderr)
        return 2
    cases = []
    print_header()
    for deployment in deployments:
        for load in loads:
            for policy in policies:
                case = Case(deployment, load, policy)
                for seed in range(seeds):
                    case.results.append(
                        play(
                            DEPLOYMENT_BY_NAME[deployment],
                            POLICY_BY_NAME[policy],
                            seed,
                            load,
                        )
                    )
                print_row(case)
                cases.append(case)
    output = Path(options["--output"])
    output.mkdir(parents=True, exist_ok=True)
    for deployment in deployments:
        write_plot(output / f"{deployment}.png", deployment, cases)
    print(f"plots: {output}")
    return 0
