"""Makes a declaration the one in force.

Usage:
  siskinlever apply <file> [--base=GENERATION] [--wait=SECONDS]

Options:
  --base=GENERATION  Refuse if another generation is in force.
  --wait=SECONDS     Wait until each live host confirms [default: 17].
"""

from __future__ import annotations

import asyncio
import uuid
from typing import Any

from ..cli.exit_codes import ExitCode
from ..exceptions import SiskinleverError
from ..utils.clock import Deadline
from .base import (
    Administration,
    CommandContext,
    administration,
    print_json,
    read_declaration,
)

POLL_S = 0.2


async def run(context: CommandContext, arguments: dict[str, Any]) -> int:
    """Run the command."""
    content, _ = read_declaration(arguments["<file>"])
    params = {"apply_id": uuid.uuid4().hex}
    if arguments["--base"]:
        params["base_generation"] = arguments["--base"]
    async with administration(context) as hosts:
        accepted = await hosts.first(
            "PUT", "/v1/configuration", params=params, data=content
        )
        confirmed = await _confirm(
            hosts, accepted["generation"], Deadline(float(arguments["--wait"]))
        )
    _print(context, accepted, confirmed)
    return ExitCode.OK if all(confirmed.values()) else ExitCode.NOT_CONFIRMED


async def _confirm(
    hosts: Administration, generation: int, deadline: Deadline
) -> dict[str, bool]:
    """Wait until each host has a generation in force, or until the deadline."""
    while True:
        found = await hosts.all("/v1/status")
        confirmed = {
            address: not isinstance(status, SiskinleverError)
            and status["generation"] >= generation
            for address, status in found.items()
        }
        if all(confirmed.values()) or deadline.passed:
            return confirmed
        await asyncio.sleep(POLL_S)


def _print(
    context: CommandContext, accepted: dict[str, Any], confirmed: dict[str, bool]
) -> None:
    if context.json:
        print_json(accepted | {"confirmed": confirmed})
        return
    print(f"accepted as generation {accepted['generation']}")
    for address, done in confirmed.items():
        print(f"  {address}: {'in force' if done else 'not confirmed'}")
