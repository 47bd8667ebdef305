"""Locks by key."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager


class KeyedLocks:
    """Locks by key that exist only while a task holds or awaits them."""

    def __init__(self) -> None:
        self._lock_by_key: dict[str, asyncio.Lock] = {}
        self._users_by_key: dict[str, int] = {}

    @asynccontextmanager
    async def locked(self, key: str) -> AsyncIterator[None]:
        """Return a context manager that holds the lock of a key."""
        lock = self._lock_by_key.setdefault(key, asyncio.Lock())
        self._users_by_key[key] = self._users_by_key.get(key, 0) + 1
        try:
            async with lock:
                yield
        finally:
            self._users_by_key[key] -= 1
            if not self._users_by_key[key]:
                del self._users_by_key[key]
                del self._lock_by_key[key]
