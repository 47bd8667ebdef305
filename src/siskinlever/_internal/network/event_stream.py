"""Finds complete events in a stream of server-sent events.

Lines may end with LF, CRLF or CR, also within one stream, and bytes may arrive in
parts of any size.
"""

from __future__ import annotations

import re

from ..exceptions import AnswerBrokenError
from .answer_end import AnswerEnd

# Bytes of one event that are kept until it is complete.
MAX_EVENT_BYTES = 1_048_576
# A line end followed by a blank line. The groups are atomic so that the two bytes of
# one CRLF never count as two line ends.
EVENT_END = re.compile(rb"(?>\r\n|\n|\r)(?>\r\n|\n|\r)")
EVENT_END_BYTES = 4
LINE_END = re.compile(rb"\r\n|\n|\r")
BYTE_ORDER_MARK = b"\xef\xbb\xbf"
COMMENT = b":"
ID_FIELD = b"id:"


class EventStreamScanner:
    """Splits the bytes of a stream at the end of its last complete event.

    Attributes
    ----------
    events : int
        Number of complete events.
    last_event : str or None
        Id of the last complete event that has one.
    """

    def __init__(self) -> None:
        self._tail = bytearray()
        self.events = 0
        self.last_event: str | None = None

    def feed(self, data: bytes) -> bytes:
        """Add bytes; return those up to the end of the last complete event.

        Bytes that were returned before are not returned again.

        Raises
        ------
        AnswerBrokenError
            Raised when an event exceeds `MAX_EVENT_BYTES`.
        """
        tail = self._tail
        if not tail and data.endswith(b"\n\n") and b"\r" not in data:
            # Engines usually send whole events.
            self._note_events(data, data.count(b"\n\n"))
            return data
        search_from = max(0, len(tail) - EVENT_END_BYTES + 1)
        tail += data
        end, count = _last_event_end(tail, search_from)
        if len(tail) - end > MAX_EVENT_BYTES:
            raise AnswerBrokenError(
                f"an event exceeds {MAX_EVENT_BYTES} bytes", end=AnswerEnd.OVERSIZED
            )
        if not end:
            return b""
        complete = bytes(tail[:end])
        del tail[:end]
        self._note_events(complete, count)
        return complete

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return bytes(self._tail)

    @property
    def is_inside_event(self) -> bool:
        """Whether an event, or a line, has begun and is not complete."""
        if not self._tail:
            return False
        *lines, last = LINE_END.split(self.remainder.removeprefix(BYTE_ORDER_MARK))
        is_line_open = bool(last) or self._tail.endswith(b"\r\n\r")
        return is_line_open or not all(
            line.startswith(COMMENT) for line in lines if line
        )

    def _note_events(self, complete: bytes, count: int) -> None:
        if not self.events:
            complete = complete.removeprefix(BYTE_ORDER_MARK)
        self.events += count
        if b"\r" in complete:
            complete = LINE_END.sub(b"\n", complete)
        start = complete.rfind(b"\n" + ID_FIELD) + 1
        if start or complete.startswith(ID_FIELD):
            value = complete[start + len(ID_FIELD) :].partition(b"\n")[0]
            self.last_event = value.strip().decode("latin-1")


def _last_event_end(stream: bytearray, search_from: int) -> tuple[int, int]:
    """Return the end of the last complete event, or 0, and the number of events.

    A blank line that ends with CR and follows a line that ends with CRLF isn't
    complete at the end of the bytes, since its LF is probably still to come.
    """
    if b"\r" not in stream:
        count = stream.count(b"\n\n", search_from)
        return (stream.rfind(b"\n\n") + 2 if count else 0), count
    ends = [match.end() for match in EVENT_END.finditer(stream, search_from)]
    if ends and ends[-1] == len(stream) and stream.endswith(b"\r\n\r"):
        ends.pop()
    return (ends[-1] if ends else 0), len(ends)
