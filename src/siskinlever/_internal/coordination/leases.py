"""Leases of the key-value service, for records with a retention and for work.

A renewed lease lapses with its holder, which frees work for others. A lease
for records with a retention outlives it: it is never renewed, is opened for
the whole retention and gives way to a new one after a short while, so that a
record is kept for at least `RETENTION_S`, whatever becomes of this host.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress

from ..exceptions import PlatformError
from ..utils.clock import monotonic
from ..utils.tasks import TaskSet
from .key_value import KeyValueClient

# The longest lease that Consul grants.
LEASE_S = 86_400.0
ROTATION_PERIOD_S = 3_600.0
RETENTION_S = LEASE_S - ROTATION_PERIOD_S
RENEWED_LEASE_S = 15.0
RENEW_PERIOD_S = 5.0


class RetentionLease:
    """Gives out a lease that has at least `RETENTION_S` left.

    Parameters
    ----------
    key_value : KeyValueClient
    name : str
        Shown by the key-value service.
    """

    def __init__(self, key_value: KeyValueClient, name: str) -> None:
        self._key_value = key_value
        self._name = name
        self._lease = ""
        self._opened_at = 0.0
        self._open_lock = asyncio.Lock()

    async def current(self) -> str:
        """Return the lease to bind new records to; raises `PlatformError`."""
        async with self._open_lock:
            if not self._lease or monotonic() - self._opened_at >= ROTATION_PERIOD_S:
                # Counted from before the call: its answer may be late.
                opened_at = monotonic()
                self._lease = await self._key_value.open_lease(
                    self._name, LEASE_S, delete_records=True
                )
                self._opened_at = opened_at
            return self._lease

    def lapsed(self, lease: str) -> None:
        """Note that the service does not know a lease any longer."""
        if self._lease == lease:
            self._lease = ""


class RenewedLease:
    """A lease that is renewed as long as it is needed.

    Opened when first asked for and closed when nothing needs it any longer,
    so that an idle host makes no call.

    Parameters
    ----------
    key_value : KeyValueClient
    name : str
    needed : callable
        Tells whether any record is held.
    lapsed : callable
        Called when the lease has lapsed, or may have.
    tasks : TaskSet
    """

    def __init__(
        self,
        key_value: KeyValueClient,
        name: str,
        is_needed: Callable[[], bool],
        on_lapsed: Callable[[], None],
        tasks: TaskSet,
    ) -> None:
        self._key_value = key_value
        self._name = name
        self._is_needed = is_needed
        self._on_lapsed = on_lapsed
        self._tasks = tasks
        self._lease = ""
        self._open_lock = asyncio.Lock()

    @property
    def held(self) -> str:
        """The lease that is open, or ""."""
        return self._lease

    async def current(self) -> str:
        """Return the lease to hold records by; raises `PlatformError`."""
        async with self._open_lock:
            if not self._lease:
                opened_at = monotonic()
                self._lease = await self._key_value.open_lease(
                    self._name, RENEWED_LEASE_S, delete_records=False
                )
                self._tasks.start(self._renew(self._lease, opened_at), "renew-lease")
            return self._lease

    def mark_lapsed(self, lease: str) -> None:
        """Note that the service does not know a lease any longer."""
        if self._lease == lease:
            self._lease = ""
            self._on_lapsed()

    async def close(self) -> None:
        """End the lease now, so that others can hold its records."""
        lease, self._lease = self._lease, ""
        if lease:
            await self._key_value.close_lease(lease)

    async def _renew(self, lease: str, renewed_at: float) -> None:
        while True:
            await asyncio.sleep(RENEW_PERIOD_S)
            if self._lease != lease:
                return
            if not self._is_needed():
                with suppress(PlatformError):
                    await self.close()
                return
            attempted_at = monotonic()
            try:
                renewed = await self._key_value.renew_lease(lease)
            except PlatformError:
                # Without an answer the lease is good for its length at most.
                renewed = attempted_at - renewed_at < RENEWED_LEASE_S
                attempted_at = renewed_at
            if not renewed:
                self.mark_lapsed(lease)
                return
            renewed_at = attempted_at
