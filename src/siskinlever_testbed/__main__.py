"""Runs the demonstration and the measurements.

Usage:
  siskinlever_testbed <tool> [<args>...]

Tools:
  bench   Measure the policies under load and faults.
  demo    Start a fleet and send it real requests.
  model   Play variants of the decisions on a model of the engines.
  platform_demo
          The same behind stand-ins of the users' platform.
  slopes  Measure what each part costs.
"""

from __future__ import annotations

import asyncio
import importlib
import sys

from docopt import docopt

TOOLS = frozenset({"bench", "demo", "model", "platform_demo", "slopes"})


def main() -> int:
    """Run one tool; return its exit code."""
    arguments = docopt(__doc__ or "", argv=sys.argv[1:], options_first=True)
    tool = arguments["<tool>"]
    if tool not in TOOLS:
        print(f"unknown tool {tool!r}, allowed: {sorted(TOOLS)}", file=sys.stderr)
        return 2
    module = importlib.import_module(f".{tool}", __package__)
    return int(asyncio.run(module.run(arguments["<args>"])))


if __name__ == "__main__":
    sys.exit(main())
