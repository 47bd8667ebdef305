"""Shows what crashes runners on the users' platform, and lifts wrong verdicts.

Usage:
  siskinlever crashes
  siskinlever crashes lift <trait>...

Prints, for each host given by its metrics address, the sets of traits that requests
are refused for, with the runners that crashed and the seconds since a request was last
refused; with --json, also the evidence on each crash. `lift` acquits traits at all
hosts, whichever host is given; further crashes count against them again after a minute.

Exit codes:
  0  done
  1  a trait is neither barred nor suspected
  5  a host was unreachable
"""

from __future__ import annotations

from typing import Any

from ..cli.exit_codes import ExitCode
from .base import CommandContext, admin_client, print_by_host


async def run(context: CommandContext, arguments: dict[str, Any]) -> int:
    """Run the command."""
    async with admin_client(context) as client:
        if arguments["lift"]:
            document = {"traits": arguments["<trait>"]}
            answer = await client.call_any("POST", "/crashes/lift", json=document)
            print("lifted " + " ".join(answer["lifted"]))
            return ExitCode.OK
        results = await client.get_all("/crashes")
    return print_by_host(context, results, _lines)


def _lines(found: dict[str, Any]) -> list[str]:
    lines = [f"{len(found['crashes'])} crashes"]
    lines += [
        f"  barred {','.join(bar['traits'])}  crashed {','.join(bar['runners'])}"
        f"  last refused {bar['last_refused_s']:.0f} s ago"
        for bar in found["barred"]
    ]
    return lines
