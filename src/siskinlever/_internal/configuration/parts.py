"""Splits a declaration into parts so that a small change affects few of them.

The content is cut before objects that are selected by a hash of their names, not
at fixed offsets. An object that is added or grows therefore changes only its own
part, and hosts read only that part.
"""

from __future__ import annotations

import re
import zlib
from collections.abc import Iterator

from ..utils.digests import content_digest

# Number of hexadecimal digits of the digest at the end of a part's name.
DIGEST_DIGITS = 32
# Average number of named objects in a part.
OBJECTS_PER_PART = 64
MAX_PART_BYTES = 500_000
NAMED_OBJECT = re.compile(rb'\{"name":"([^"]*)"')


def split(content: bytes) -> list[bytes]:
    """Split a declaration's JSON into parts whose concatenation is the content.

    No part is larger than `MAX_PART_BYTES`.
    """
    cuts = [0, *_cut_offsets(content), len(content)]
    return [
        content[start : min(start + MAX_PART_BYTES, end)]
        for begin, end in zip(cuts, cuts[1:], strict=False)
        for start in range(begin, end, MAX_PART_BYTES)
    ]


def short_digest(content: bytes) -> str:
    """Return the shortened digest that identifies a part or a declaration."""
    return content_digest(content)[:DIGEST_DIGITS]


def part_name(call_id: str, part: bytes) -> str:
    """Return the name of a part that was written by a call with ``call_id``."""
    return f"{call_id}-{short_digest(part)}"


def digest_from_name(name: str) -> str:
    """Return the digest at the end of a part's name."""
    return name[-DIGEST_DIGITS:]


def _cut_offsets(content: bytes) -> Iterator[int]:
    for match in NAMED_OBJECT.finditer(content):
        if zlib.crc32(match[1]) % OBJECTS_PER_PART == 0:
            yield match.start()
