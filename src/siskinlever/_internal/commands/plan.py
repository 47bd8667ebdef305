"""Shows what an apply would change.

Usage:
  siskinlever plan <file>

Compares the file with the newest declaration in force at the hosts given, and
prints the generation of that declaration for `siskinlever apply --base`.

Exit codes:
  0  shown
  3  the declaration has faults
  5  no host was reached
"""

from __future__ import annotations

from typing import Any

from ..cli.exit_codes import ExitCode
from ..exceptions import SiskinleverError
from .base import (
    AdminClient,
    CommandContext,
    admin_client,
    print_json,
    read_declaration,
)


async def run(context: CommandContext, arguments: dict[str, Any]) -> int:
    """Run the command."""
    _, declaration = read_declaration(arguments["<file>"])
    async with admin_client(context) as client:
        current = await _newest_configuration(client)
    changes = differences(
        current["declaration"] or {}, declaration.model_dump(mode="json")
    )
    if context.json:
        print_json({"base_generation": current["generation"], "changes": changes})
        return ExitCode.OK
    print(f"changes from generation {current['generation']}:")
    for change in changes or ["no change"]:
        print(f"  {change}")
    return ExitCode.OK


async def _newest_configuration(client: AdminClient) -> dict[str, Any]:
    results = await client.get_all("/v1/configuration")
    configurations = [value for value in results.values() if isinstance(value, dict)]
    if not configurations:
        raise next(e for e in results.values() if isinstance(e, SiskinleverError))
    return max(configurations, key=lambda value: int(value["generation"]))


def differences(before: Any, after: Any, path: str = "$") -> list[str]:
    """Return the differences between two JSON values, each with its path."""
    if isinstance(before, dict) and isinstance(after, dict):
        return [
            line
            for name in sorted(before.keys() | after.keys())
            for line in _member_differences(before, after, name, f"{path}.{name}")
        ]
    indexed = _index_by_name(before), _index_by_name(after)
    if indexed[0] is not None and indexed[1] is not None:
        return differences(indexed[0], indexed[1], path)
    return [] if before == after else [f"{path}: {before!r} -> {after!r}"]


def _member_differences(
    before: dict[str, Any], after: dict[str, Any], name: str, path: str
) -> list[str]:
    if name not in before:
        return [f"{path}: added"]
    if name not in after:
        return [f"{path}: removed"]
    return differences(before[name], after[name], path)


def _index_by_name(value: Any) -> dict[str, Any] | None:
    """Return a list of named objects as a mapping, or None for other values."""
    if not isinstance(value, list):
        return None
    if not all(isinstance(item, dict) and "name" in item for item in value):
        return None
    return {item["name"]: item for item in value}
