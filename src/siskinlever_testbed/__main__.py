"""Runs the demonstrations and the measurements.

Usage:
  siskinlever_testbed <tool> [<args>...]

Tools:
  bench   Measure the policies under load and faults.
  crash_model
          Simulate days with crashes and how their causes are found.
  demo    Start a fleet and send it real requests.
  model   Simulate placement policies on simulated engines under load.
  platform_demo
          Like demo, with stand-ins for the users' platform.
  quota_model
          Simulate hosts that share a quota.
  slopes  Measure the resource costs of each part.
"""

from __future__ import annotations

import asyncio
import importlib
import sys

from docopt import docopt

TOOLS = frozenset(
    {"bench", "crash_model", "demo", "model", "platform_demo", "quota_model", "slopes"}
)


def main() -> int:
    """Run a tool and return its exit code, or 2 if the tool is unknown."""
    arguments = docopt(__doc__ or "", argv=sys.argv[1:], options_first=True)
    tool = arguments["<tool>"]
    if tool not in TOOLS:
        print(f"unknown tool {tool!r}, allowed: {sorted(TOOLS)}", file=sys.stderr)
        return 2
    module = importlib.import_module(f".{tool}", __package__)
    return int(asyncio.run(module.run(arguments["<args>"])))


if __name__ == "__main__":
    sys.exit(main())
