"""Measures the resource costs of each part; prints a table and writes its rows.

Usage:
  slopes [--only=PARTS] [--output=FILE]

Options:
  --only=PARTS   Parts, separated by commas
                 [default: floor,deciding,idling,declaring,serving].
  --output=FILE  File for the rows [default: build/slopes.json].
"""

from __future__ import annotations

import json
import os
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import asdict
from pathlib import Path

import aiohttp
from docopt import docopt

from . import deciding, declaring, floor, idling, serving
from .usage import Cost

MAX_ATTEMPTS = 3
PartMeasure = Callable[[Path], Awaitable[list[Cost]]]
MEASURE_BY_PART: dict[str, PartMeasure] = {
    "floor": lambda _: floor.measure(),
    "deciding": lambda _: deciding.measure(),
    "idling": idling.measure,
    "declaring": declaring.measure,
    "serving": serving.measure,
}


async def run(argv: list[str]) -> int:
    """Measure the selected parts and return the exit code, 2 for an unknown part."""
    options = docopt(__doc__ or "", argv=argv)
    parts = options["--only"].split(",")
    unknown = sorted(set(parts) - MEASURE_BY_PART.keys())
    if unknown:
        allowed = sorted(MEASURE_BY_PART)
        print(f"--only: found {unknown}, allowed: {allowed}", file=sys.stderr)
        return 2
    started_at = time.monotonic()
    started = time.strftime("%Y-%m-%d %H:%M:%S UTC", time.gmtime())
    print(f"{started}, load average: {os.getloadavg()[0]:.1f}", flush=True)
    costs: list[Cost] = []
    with tempfile.TemporaryDirectory() as directory:
        for part in parts:
            measured = await _measure(part, Path(directory))
            _print_costs(measured)
            costs += measured
    output = Path(options["--output"])
    output.parent.mkdir(parents=True, exist_ok=True)
    body = {
        "started": started,
        "load_average": os.getloadavg()[0],
        "rows": [asdict(cost) for cost in costs],
    }
    output.write_text(json.dumps(body, indent=2))
    elapsed_s = time.monotonic() - started_at
    print(f"load average: {os.getloadavg()[0]:.1f}; {elapsed_s:.0f} s; {output}")
    return 0


async def _measure(part: str, directory: Path) -> list[Cost]:
    """Measure a part, with retries.

    A measurement can fail because another process took a port that was chosen for
    the fleet.
    """
    for attempts_left in reversed(range(MAX_ATTEMPTS)):
        try:
            return await MEASURE_BY_PART[part](directory / f"{part}-{attempts_left}")
        except (RuntimeError, TimeoutError, aiohttp.ClientError) as error:
            print(f"{part} failed: {error!r}", file=sys.stderr, flush=True)
            if attempts_left == 0:
                raise
    raise AssertionError("unreachable")


def _print_costs(costs: list[Cost]) -> None:
    for cost in costs:
        print(
            f"{cost.name:40} {cost.value:12,.2f} {cost.unit:12} {cost.how}",
            flush=True,
        )
