"""Shows events over all hosts, ordered by cause.

Usage:
  siskinlever timeline [--request=ID] [--last=COUNT] [--chrome=FILE]

Options:
  --request=ID   Only events of one request.
  --last=COUNT   Only the latest events [default: 200].
  --chrome=FILE  Write a Chrome trace instead.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from ..cli.exit_codes import ExitCode
from ..exceptions import SiskinleverError
from .base import CommandContext, administration, print_json

US_PER_MS = 1000


async def run(context: CommandContext, arguments: dict[str, Any]) -> int:
    """Run the command."""
    request_id = arguments["--request"]
    query = f"?request_id={request_id}" if request_id else ""
    async with administration(context) as hosts:
        found = await hosts.all(f"/v1/timeline{query}")
    events = merged([f for f in found.values() if not isinstance(f, SiskinleverError)])
    events = events[-int(arguments["--last"]) :]
    if arguments["--chrome"]:
        _write_trace(Path(arguments["--chrome"]), events)
    elif context.json:
        print_json(events)
    else:
        for event in events:
            print(_line(event))
    return ExitCode.OK


def merged(found: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Merge the events of hosts in the order of their logical stamps."""
    events = [event for part in found for event in part["events"]]
    return sorted(events, key=_stamp)


def chrome_trace(events: list[dict[str, Any]]) -> dict[str, Any]:
    """Return events in Chrome's trace format, one row for each host."""
    return {
        "traceEvents": [
            {
                "name": event["kind"],
                "ph": "i",
                "s": "t",
                "ts": event["stamp"]["wall_ms"] * US_PER_MS + event["stamp"]["counter"],
                "pid": event["host"],
                "tid": event["request_id"],
                "args": event["fields"],
            }
            for event in events
        ]
    }


def _write_trace(path: Path, events: list[dict[str, Any]]) -> None:
    path.write_text(json.dumps(chrome_trace(events)))


def _stamp(event: dict[str, Any]) -> tuple[int, int, str]:
    stamp = event["stamp"]
    return (stamp["wall_ms"], stamp["counter"], event["host"])


def _line(event: dict[str, Any]) -> str:
    stamp = event["stamp"]
    fields = " ".join(f"{name}={value}" for name, value in event["fields"].items())
    return (
        f"{stamp['wall_ms']}.{stamp['counter']:04d}  {event['host']:<12}"
        f"{event['kind']:<24}{event['request_id']:<36}{fields}"
    )
