"""Shows the log lines of the hosts about one request, ordered by time.

Usage:
  siskinlever explain <request> <log>...

Reads logs written by hosts that run with `siskinleverd --platform`, given in any
order. Prints the log lines of the request, and the state events of its hosts
from 3 s before the request until its end.

Exit codes:
  0  shown
  2  a log cannot be read, or no log has a line of the request
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from ..cli.exit_codes import ExitCode
from ..exceptions import UsageError
from .base import CommandContext, print_json

# State events are shown from CONTEXT_S seconds before a request until its end.
CONTEXT_S = 3.0
STATE_EVENTS = (
    "runner.state",
    "store.lost",
    "store.regained",
    "configuration.changed",
    "host.lost",
    "order.stage",
    "process.started",
    "process.stopping",
    "process.stopped",
    "log.dropped",
)
LEADING_FIELDS = ("time", "host", "event", "request")

LogLine = dict[str, Any]


async def run(context: CommandContext, arguments: dict[str, Any]) -> int:
    """Run the command."""
    lines = list(read_lines(Path(name) for name in arguments["<log>"]))
    selected = explain(lines, arguments["<request>"])
    if not selected:
        raise UsageError(
            f"no line of request {arguments['<request>']} in {len(lines)} lines",
            "give the logs of all hosts; lines may have been dropped, see log.dropped",
        )
    if context.json:
        print_json(selected)
        return ExitCode.OK
    for line in selected:
        print(format_line(line))
    return ExitCode.OK


def read_lines(paths: Iterable[Path]) -> Iterator[LogLine]:
    """Read the JSON object at the end of each log line.

    Text before the object is ignored, as are lines without a valid object.

    Raises
    ------
    UsageError
        If a log cannot be read.
    """
    for path in paths:
        try:
            text = path.read_text(errors="replace")
        except OSError as error:
            raise UsageError(f"{path}: {error.strerror}") from error
        for line in text.splitlines():
            start = line.find('{"time":')
            if start < 0:
                continue
            try:
                yield json.loads(line[start:])
            except ValueError:
                continue


def explain(lines: Iterable[LogLine], request: str) -> list[LogLine]:
    """Return the lines of a request and the state events of its hosts around it."""
    lines = sorted(lines, key=lambda line: float(line["time"]))
    request_lines = [line for line in lines if line.get("request") == request]
    if not request_lines:
        return []
    hosts = {line["host"] for line in request_lines}
    window_start = (
        float(request_lines[0]["time"])
        - float(request_lines[0].get("taken_s", 0.0))
        - CONTEXT_S
    )
    window_end = float(request_lines[-1]["time"])
    return [
        line
        for line in lines
        if line.get("request") == request
        or (
            line["event"] in STATE_EVENTS
            and line["host"] in hosts
            and window_start <= float(line["time"]) <= window_end
        )
    ]


def format_line(line: LogLine) -> str:
    """Return a log line as human-readable text."""
    fields = " ".join(f"{k}={v}" for k, v in line.items() if k not in LEADING_FIELDS)
    return f"{float(line['time']):.3f} {line['host']} {line['event']} {fields}".rstrip()
