"""Shows the workspaces of the users' platform, their keys and what was refused.

Usage:
  siskinlever workspaces [<name>...]

Prints, for each host given by its metrics address, the version of the configuration,
the age of the proof that it is the newest, and the requests refused without a known
key; for each workspace, or only those named, its priority, the digests of its keys, its
refused requests by cause, and its demand at the host against the host's own part of the
quota and what it holds.

Exit codes:
  0  done
  5  a host was unreachable
"""

from __future__ import annotations

from typing import Any

from ..exceptions import SiskinleverError
from .base import CommandContext, admin_client, print_by_host


async def run(context: CommandContext, arguments: dict[str, Any]) -> int:
    """Run the command."""
    async with admin_client(context) as client:
        results = await client.get_all("/workspaces")
    names = set(arguments["<name>"])
    for found in results.values():
        if names and not isinstance(found, SiskinleverError):
            found["workspaces"] = [w for w in found["workspaces"] if w["name"] in names]
    return print_by_host(context, results, _lines)


def _lines(found: dict[str, Any]) -> list[str]:
    age_s = found["proof_age_s"]
    lines = [
        f"version {found['version']}"
        f"  proved {'never' if age_s is None else f'{age_s:.1f} s ago'}"
        f" ({found['confirmation']})"
        f"  without a known key refused {_format_counts(found)}"
    ]
    lines += [
        f"  {workspace['name']}  priority {workspace['priority']}"
        f"  keys {','.join(workspace['keys'])}"
        f"  refused {_format_counts(workspace, 'refusals')}"
        f"  quota {_format_quota(workspace['quota'])}"
        for workspace in found["workspaces"]
    ]
    return lines


def _format_counts(
    found: dict[str, Any], field: str = "refusals_without_workspace"
) -> str:
    counts = found[field]
    return ",".join(f"{cause}={counts[cause]}" for cause in sorted(counts)) or "none"


def _format_quota(quota: dict[str, Any] | None) -> str:
    if quota is None:
        return "unused"
    limited = " (limited)" if quota["is_limited"] else ""
    return (
        f"{quota['demand_per_s']:g}/s of {quota['own_rate_per_s']:g}/s"
        f" holds {quota['held']:g}{limited}"
    )
