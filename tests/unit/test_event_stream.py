"""Recognition of complete events in a stream of server-sent events."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinlever._internal.network.event_stream import EventStreamScanner

LINE_ENDS = [b"\n", b"\r\n", b"\r"]


def event(number: int, line_end: bytes = b"\n") -> bytes:
    return line_end.join([b"id: %d" % number, b"data: text", b"", b""])


def scanned(*parts: bytes) -> EventStreamScanner:
    scanner = EventStreamScanner()
    for part in parts:
        scanner.feed(part)
    return scanner


@pytest.mark.parametrize("line_end", LINE_ENDS)
def test_events_are_complete_at_their_blank_line(line_end):
    stream = event(1, line_end) + event(2, line_end)
    scanner = scanned(stream)
    assert not scanner.is_inside_event
    assert (scanner.events, scanner.last_event) == (2, "2")


@pytest.mark.parametrize("line_end", LINE_ENDS)
def test_every_cut_within_an_event_is_recognized(line_end):
    first, second = event(1, line_end), event(2, line_end)
    for cut in range(1, len(second)):
        scanner = scanned(first + second[:cut])
        assert scanner.is_inside_event
        assert scanner.last_event == "1"


@pytest.mark.parametrize(
    ("remainder", "is_inside"),
    [
        (b"", False),
        (b"\n\n", False),
        (b": a comment\n", False),
        (b": a comm", True),
        (b"data: text\n", True),
        (b": a comment\nretry: 10\n", True),
    ],
)
def test_comments_and_blank_lines_are_no_events(remainder, is_inside):
    scanner = scanned(event(1) + remainder)
    assert scanner.is_inside_event is is_inside
    assert scanner.last_event == "1"


def test_byte_order_mark_is_no_part_of_a_field():
    assert scanned(b"\xef\xbb\xbf" + event(7)).last_event == "7"
    assert not scanned(b"\xef\xbb\xbf").is_inside_event


@given(
    line_ends=st.lists(st.sampled_from(LINE_ENDS), min_size=1, max_size=6),
    cuts=st.lists(st.integers(0, 200), max_size=12),
    length=st.integers(0, 200),
)
def test_result_does_not_depend_on_how_bytes_are_split(line_ends, cuts, length):
    stream = b"".join(event(n, end) for n, end in enumerate(line_ends))[:length]
    whole = EventStreamScanner()
    complete = whole.feed(stream)
    split = EventStreamScanner()
    bounds = sorted({0, len(stream), *(cut for cut in cuts if cut < len(stream))})
    parts = [stream[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]
    returned = b"".join(split.feed(part) for part in parts)
    assert returned + split.remainder == complete + whole.remainder == stream
    assert split.last_event == whole.last_event
    assert split.is_inside_event == whole.is_inside_event
