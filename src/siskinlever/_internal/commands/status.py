"""Shows the state of the hosts.

Usage:
  siskinlever status

Prints one line for each host given: its zone, whether it accepts new work, the
generation in force and the time since it was last known to be current, the
number of running requests, the number of hosts that it considers alive, and
the pools whose orders it sends.

Exit codes:
  0  all hosts answered
  5  a host was unreachable or refused the call
"""

from __future__ import annotations

from typing import Any

from ..cli.exit_codes import ExitCode
from ..exceptions import SiskinleverError
from .base import CommandContext, admin_client, print_json


async def run(context: CommandContext, arguments: dict[str, Any]) -> int:
    """Run the command."""
    async with admin_client(context) as client:
        results = await client.get_all("/v1/status")
    if context.json:
        print_json({address: _as_json(status) for address, status in results.items()})
    else:
        for address, status in results.items():
            print(_format_status(address, status))
    reached = all(not isinstance(s, SiskinleverError) for s in results.values())
    return ExitCode.OK if reached else ExitCode.UNREACHABLE


def _as_json(status: dict[str, Any] | SiskinleverError) -> dict[str, Any]:
    if isinstance(status, SiskinleverError):
        return {"error": status.message}
    return status


def _format_status(address: str, status: dict[str, Any] | SiskinleverError) -> str:
    if isinstance(status, SiskinleverError):
        return f"{address}  unreachable: {status.message}"
    alive = sum(member["state"] == "alive" for member in status["members"])
    pools = ",".join(status["orders_pools"])
    return (
        f"{address}  {status['host']}  {status['zone']}  {_host_state(status)}"
        f"  generation {status['generation']} ({status['current_age_s']:.0f} s)"
        f"  {status['requests_running']} running  sees {alive} alive"
        + (f"  orders {pools}" if pools else "")
    )


def _host_state(status: dict[str, Any]) -> str:
    if status["leaving"]:
        return "leaving"
    return "cut-off" if status["stale"] else "live"
