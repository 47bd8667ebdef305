"""Leases of the key-value service for retained records and for work in progress.

A `RenewedLease` lapses when its holder stops, which releases the holder's work for
other hosts. A `RetentionLease` is independent of its holder: it is opened with the
longest possible lifetime, is never renewed, and is replaced by a new lease on the
first use after `ROTATION_PERIOD_S`. Records bound to it are therefore retained for at
least `RETENTION_S`, even if this host stops.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress

from ..exceptions import PlatformError
from ..utils.clock import monotonic
from ..utils.tasks import TaskSet
from .key_value import KeyValueClient

# The longest TTL that Consul accepts for a session.
LEASE_S = 86_400.0
ROTATION_PERIOD_S = 3_600.0
RETENTION_S = LEASE_S - ROTATION_PERIOD_S
RENEWED_LEASE_S = 15.0
RENEW_PERIOD_S = 5.0


class RetentionLease:
    """Provides a lease that lasts for at least another `RETENTION_S`.

    Parameters
    ----------
    key_value : KeyValueClient
    name : str
        Name of the session that Consul shows.
    """

    def __init__(self, key_value: KeyValueClient, name: str) -> None:
        self._key_value = key_value
        self._name = name
        self._lease = ""
        self._opened_at = 0.0
        self._open_lock = asyncio.Lock()

    async def current(self) -> str:
        """Return the lease for new records, opening one if needed.

        Raises
        ------
        PlatformError
            If a lease cannot be opened.
        """
        async with self._open_lock:
            if not self._lease or monotonic() - self._opened_at >= ROTATION_PERIOD_S:
                # Measured from before the call, because its answer may be delayed.
                opened_at = monotonic()
                self._lease = await self._key_value.open_lease(
                    self._name, LEASE_S, delete_records=True
                )
                self._opened_at = opened_at
            return self._lease

    def mark_lapsed(self, lease: str) -> None:
        """Discard a lease that the service reported as lapsed."""
        if self._lease == lease:
            self._lease = ""


class RenewedLease:
    """A lease that is renewed while it is needed.

    It is opened on first use and closed when it is no longer needed, so that an
    idle host makes no calls.

    Parameters
    ----------
    key_value : KeyValueClient
    name : str
    is_needed : callable
        Returns whether any record is held.
    on_lapsed : callable
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
        """Id of the open lease, or ""."""
        return self._lease

    async def current(self) -> str:
        """Return the lease that holds records, opening one if needed.

        Raises
        ------
        PlatformError
            If a lease cannot be opened.
        """
        async with self._open_lock:
            if not self._lease:
                opened_at = monotonic()
                self._lease = await self._key_value.open_lease(
                    self._name, RENEWED_LEASE_S, delete_records=False
                )
                self._tasks.start(self._renew(self._lease, opened_at), "renew-lease")
            return self._lease

    def mark_lapsed(self, lease: str) -> None:
        """Discard a lease that has lapsed, or may have, and report it."""
        if self._lease == lease:
            self._lease = ""
            self._on_lapsed()

    async def close(self) -> None:
        """End the lease immediately, so that other hosts can acquire its records."""
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
                # Without an answer, the lease is assumed to be valid for at most its
                # TTL after the last renewal.
                renewed = attempted_at - renewed_at < RENEWED_LEASE_S
                attempted_at = renewed_at
            if not renewed:
                self.mark_lapsed(lease)
                return
            renewed_at = attempted_at
