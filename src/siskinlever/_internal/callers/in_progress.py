"""Counts the requests being served and the bytes of bodies being received."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

MAX_RECEIVING_BYTES = 64 << 20


class InProgress:
    """Counts the requests being served, so that a shutdown can wait for them."""

    def __init__(self) -> None:
        self.count = 0

    @contextmanager
    def request(self) -> Iterator[None]:
        """Count one request while the block runs."""
        self.count += 1
        try:
            yield
        finally:
            self.count -= 1


class ReceiveBudget:
    """Limits the memory used by request bodies while they are received.

    On the platform, `BodyBuffers` has the same purpose.
    """

    def __init__(self) -> None:
        self._reserved = 0

    @contextmanager
    def reserved(self, size: int) -> Iterator[bool]:
        """Reserve bytes while the block runs; yields False if too few are left."""
        if self._reserved + size > MAX_RECEIVING_BYTES:
            yield False
            return
        self._reserved += size
        try:
            yield True
        finally:
            self._reserved -= size
