"""What operators see and lift of the requests that have crashed runners."""

from __future__ import annotations

import json
from typing import Any

from ..fleet.crash_reports import CrashReports
from ..models.traits import Trait
from ..network.http1_server import ReceivedRequest
from ..utils.clock import monotonic
from .endpoints import JSON_HEADERS, Answer

CRASHES_PATH = "/crashes"
LIFT_PATH = "/crashes/lift"


def list_crashes(reports: CrashReports) -> Answer:
    """Answer with the barred traits and the evidence on crashes."""
    now = monotonic()
    causes = reports.causes
    document = {
        "barred": [
            {
                "traits": sorted(bar.traits),
                "runners": bar.runners,
                "last_refused_s": round(now - bar.used_at, 1),
            }
            for bar in causes.bars
        ],
        "crashes": [
            {
                "runner": crash.runner.name,
                "started_at": crash.runner.started_at,
                "age_s": round(now - crash.at, 1),
                "requests": {
                    run.request: {"traits": run.traits, "weight": run.weight}
                    for run in crash.runs
                },
                "acquitted": sorted(crash.acquitted),
            }
            for crash in causes.crash_by_runner.values()
        ],
    }
    return 200, JSON_HEADERS, json.dumps(document).encode()


def lift(reports: CrashReports, request: ReceivedRequest) -> Answer:
    """Acquit the traits that a request names, at all hosts."""
    if request.method != b"POST":
        return _error(405, "method", "allowed: POST")
    try:
        document = json.loads(request.body)
    except ValueError as error:
        return _error(400, "body", f"not JSON: {error}")
    traits = document.get("traits") if isinstance(document, dict) else None
    if not _is_list_of_text(traits) or not traits:
        return _error(400, "traits", f"found {traits!r}, allowed: a list of traits")
    known = {
        trait for bar in reports.causes.bars for trait in bar.traits
    } | reports.causes.suspects
    unknown = sorted(set(traits) - known)
    if unknown:
        return _error(404, "traits", f"not barred or suspected here: {unknown}")
    reports.lift(map(Trait, traits))
    return 200, JSON_HEADERS, json.dumps({"lifted": sorted(traits)}).encode()


def _is_list_of_text(value: Any) -> bool:
    return isinstance(value, list) and all(isinstance(item, str) for item in value)


def _error(status: int, field: str, message: str) -> Answer:
    error = {"code": "invalid", "message": f"{field}: {message}"}
    return status, JSON_HEADERS, json.dumps({"error": error}).encode()
