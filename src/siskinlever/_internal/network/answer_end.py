"""Decides whether an answer is whole, from its framing, its end and its content."""

from __future__ import annotations

from enum import Enum


class Framing(Enum):
    """What marks the end of an answer's body."""

    CHUNKS = "chunks"
    LENGTH = "length"
    # Neither a length nor chunks.
    CONNECTION = "connection"
    # An answer that has no body by its method or status.
    EMPTY = "empty"


class AnswerEnd(Enum):
    """How the bytes of an answer ended; used in logs and metrics."""

    # At its length or its last chunk; bytes that follow are no part of it.
    FRAMED = "framed"
    CLOSED = "closed"
    RESET = "reset"
    # Nothing more, or no end, came in time.
    SILENT = "silent"
    MALFORMED = "malformed"
    OVERSIZED = "oversized"


class Verdict(Enum):
    """Whether an answer may be passed on as complete."""

    WHOLE = "whole"
    BROKEN = "broken"
    NOT_AN_ANSWER = "not_an_answer"


WHOLE_ENDS = frozenset(
    {
        (Framing.CHUNKS, AnswerEnd.FRAMED),
        (Framing.LENGTH, AnswerEnd.FRAMED),
        (Framing.EMPTY, AnswerEnd.FRAMED),
        (Framing.CONNECTION, AnswerEnd.CLOSED),
    }
)


def judge(
    framing: Framing | None, end: AnswerEnd, is_inside_event: bool = False
) -> Verdict:
    """Return the verdict on an answer.

    Parameters
    ----------
    framing : Framing or None
        None if no complete head has arrived.
    end : AnswerEnd
    is_inside_event : bool, default=False
        Whether the body is an event stream that ends within an event.
    """
    if framing is None:
        return Verdict.NOT_AN_ANSWER
    is_whole = (framing, end) in WHOLE_ENDS and not is_inside_event
    return Verdict.WHOLE if is_whole else Verdict.BROKEN
