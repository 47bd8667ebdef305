"""Splits a declaration into parts, most of which a small change leaves as they are.

Cuts are made before objects chosen by their names, not at fixed places: an
object that is added or grows changes its own part only, and hosts read just that.
"""

from __future__ import annotations

import re
import zlib
from collections.abc import Iterator

from ..utils.digests import content_digest

# Hexadecimal digits of a part's digest that its name ends with.
DIGEST_DIGITS = 32
# On average.
OBJECTS_PER_PART = 64
MAX_PART_BYTES = 500_000
NAMED_OBJECT = re.compile(rb'\{"name":"([^"]*)"')


def split(content: bytes) -> list[bytes]:
    """Return the parts of a declaration's JSON; joined they are the content."""
    cuts = [0, *_cut_offsets(content), len(content)]
    return [
        content[start : min(start + MAX_PART_BYTES, end)]
        for begin, end in zip(cuts, cuts[1:], strict=False)
        for start in range(begin, end, MAX_PART_BYTES)
    ]


def short_digest(content: bytes) -> str:
    """Return the digest by which a part, or a whole declaration, is known."""
    return content_digest(content)[:DIGEST_DIGITS]


def part_name(call_id: str, part: bytes) -> str:
    """Return the name of a part that one call of an apply wrote."""
    return f"{call_id}-{short_digest(part)}"


def digest_from_name(name: str) -> str:
    """Return the digest with which a part's name ends."""
    return name[-DIGEST_DIGITS:]


def _cut_offsets(content: bytes) -> Iterator[int]:
    for match in NAMED_OBJECT.finditer(content):
        if zlib.crc32(match[1]) % OBJECTS_PER_PART == 0:
            yield match.start()
