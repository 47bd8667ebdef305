"""Shows events of all hosts in causal order.

Usage:
  siskinlever timeline [--request=ID] [--last=COUNT] [--chrome=FILE]

Each event has a hybrid logical stamp: an event has a higher stamp than the
event that caused it, even if the clocks of their hosts differ.

Options:
  --request=ID   Only events of one request.
  --last=COUNT   Only the latest events [default: 200].
  --chrome=FILE  Write a Chrome trace instead.

Exit codes:
  0  shown
  5  no host returned its events; errors of hosts go to standard error
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

from ..cli.exit_codes import ExitCode
from ..exceptions import SiskinleverError, UsageError
from .base import CommandContext, admin_client, number_option, print_json

US_PER_MS = 1000


async def run(context: CommandContext, arguments: dict[str, Any]) -> int:
    """Run the command."""
    last = number_option(arguments, "--last") or 0
    params = {"last": str(last)}
    if arguments["--request"]:
        params["request_id"] = arguments["--request"]
    async with admin_client(context) as client:
        results = await client.get_all("/v1/timeline", params=params)
    reached = [response for response in results.values() if isinstance(response, dict)]
    for address, response in results.items():
        if isinstance(response, SiskinleverError):
            print(f"{address}: {response.message}", file=sys.stderr)
    events = merge_events(reached)[-last:]
    if arguments["--chrome"]:
        _write_trace(Path(arguments["--chrome"]), events)
    elif context.json:
        print_json(events)
    else:
        for event in events:
            print(_format_event(event))
    return ExitCode.OK if reached else ExitCode.UNREACHABLE


def merge_events(responses: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the events of all responses in the order of their logical stamps."""
    events = [event for response in responses for event in response["events"]]
    return sorted(events, key=_sort_key)


def chrome_trace(events: list[dict[str, Any]]) -> dict[str, Any]:
    """Return events in the Chrome trace format, with one process per host."""
    pid_by_host = _number_by_name(event["host"] for event in events)
    tid_by_request = _number_by_name(event["request_id"] for event in events)
    names = [
        {"name": "process_name", "ph": "M", "pid": pid, "args": {"name": host}}
        for host, pid in pid_by_host.items()
    ]
    return {
        "traceEvents": names
        + [
            {
                "name": event["kind"],
                "ph": "i",
                "s": "t",
                "ts": event["stamp"]["wall_ms"] * US_PER_MS + event["stamp"]["counter"],
                "pid": pid_by_host[event["host"]],
                "tid": tid_by_request[event["request_id"]],
                "args": event["fields"] | {"request_id": event["request_id"]},
            }
            for event in events
        ]
    }


def _number_by_name(names: Any) -> dict[str, int]:
    return {name: number for number, name in enumerate(dict.fromkeys(names), 1)}


def _write_trace(path: Path, events: list[dict[str, Any]]) -> None:
    try:
        path.write_text(json.dumps(chrome_trace(events)))
    except OSError as error:
        raise UsageError(f"--chrome: cannot write {path}: {error.strerror}") from error
    print(f"{len(events)} events in {path}")


def _sort_key(event: dict[str, Any]) -> tuple[int, int, str]:
    stamp = event["stamp"]
    return (stamp["wall_ms"], stamp["counter"], event["host"])


def _format_event(event: dict[str, Any]) -> str:
    stamp = event["stamp"]
    fields = " ".join(f"{name}={value}" for name, value in event["fields"].items())
    return (
        f"{stamp['wall_ms']}.{stamp['counter']:04d}  {event['host']:<12}"
        f"{event['kind']:<24}{event['request_id']:<36}{fields}"
    )
