"""Shows the duties that hosts of the users' platform don't keep.

Usage:
  siskinlever duties

Prints, for each host given by its metrics address, whether it takes callers in spite
of them, and each duty that fails again and again: what it is about, for how long, how
often it has failed, and the last error. A host whose duties are all kept prints none.

Exit codes:
  0  done
  5  a host was unreachable
"""

from __future__ import annotations

from typing import Any

from .base import CommandContext, admin_client, print_by_host


async def run(context: CommandContext, arguments: dict[str, Any]) -> int:
    """Run the command."""
    async with admin_client(context) as client:
        results = await client.get_all("/duties")
    return print_by_host(context, results, _lines)


def _lines(found: dict[str, Any]) -> list[str]:
    state = "takes callers" if found["is_serving"] else "takes no callers"
    failing = [
        f"  {duty['duty']} {duty['of']}".rstrip()
        + f"  failing for {duty['failing_s']:.1f} s ({duty['failures']} times)"
        f"  {duty['error']}"
        for duty in found["failing"]
    ]
    return [f"{state}, {len(failing)} duties fail", *failing]
