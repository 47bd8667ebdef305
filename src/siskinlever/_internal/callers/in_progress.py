"""Counts what is being received and served."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

MAX_RECEIVING_BYTES = 64 << 20


class InProgress:
    """Counts the requests that this host serves, to wait for their end."""

    def __init__(self) -> None:
        self.count = 0

    @contextmanager
    def request(self) -> Iterator[None]:
        """Count one request for the length of a block."""
        self.count += 1
        try:
            yield
        finally:
            self.count -= 1


class ReceiveBudget:
    """Bounds the memory that bodies take while they are received."""

    def __init__(self) -> None:
        self._reserved = 0

    @contextmanager
    def reserved(self, size: int) -> Iterator[bool]:
        """Reserve room for the length of a block; False if there is none."""
        if self._reserved + size > MAX_RECEIVING_BYTES:
            yield False
            return
        self._reserved += size
        try:
            yield True
        finally:
            self._reserved -= size
