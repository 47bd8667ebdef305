"""Decoders for what runners state about themselves in their answers."""

from __future__ import annotations

import math
import time
from email.utils import parsedate_to_datetime

from ..models.upstreams import RunnerStatement
from ..network.http1_client import AnswerHead

# Requests a second that the runner takes from all hosts together.
REQUEST_LIMIT = b"server-limit"
LEAVING = b"server-leaving"
# Seconds, or an HTTP date.
RETRY_AFTER = b"retry-after"
LEAVING_BY_VALUE = {"1": True, "0": False}
# Longer pauses are obeyed for this many seconds.
MAX_PAUSE_S = 3600.0


def runner_statement(head: AnswerHead) -> RunnerStatement:
    """Return what a runner states in an answer, with the headers that are not valid."""
    invalid: list[str] = []
    limit_per_s = _number(head, REQUEST_LIMIT, invalid)
    leaving = head.get(LEAVING)
    if leaving is not None and leaving not in LEAVING_BY_VALUE:
        invalid.append(f"Server-Leaving: found {leaving!r}")
    return RunnerStatement(
        limit_per_s=limit_per_s,
        is_leaving=LEAVING_BY_VALUE.get(leaving or "0", False),
        pause_s=_pause_s(head, invalid) if head.status == 503 else None,
        is_limit_valid=head.get(REQUEST_LIMIT) is None or limit_per_s is not None,
        invalid=tuple(invalid),
    )


def _number(head: AnswerHead, name: bytes, invalid: list[str]) -> float | None:
    text = head.get(name)
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if math.isfinite(value) and value >= 0:
        return value
    invalid.append(f"{name.decode().title()}: found {text!r}")
    return None


def _pause_s(head: AnswerHead, invalid: list[str]) -> float | None:
    date_s = _seconds_until(head.get(RETRY_AFTER) or "")
    pause_s = _number(head, RETRY_AFTER, invalid) if date_s is None else date_s
    return None if pause_s is None else min(max(pause_s, 0.0), MAX_PAUSE_S)


def _seconds_until(date: str) -> float | None:
    """Return the seconds until an HTTP date, or None if the text is none."""
    try:
        return parsedate_to_datetime(date).timestamp() - time.time()
    except (ValueError, TypeError, IndexError, OverflowError):
        return None
