"""Lease that permits a single host to send orders to engines."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable

from ..exceptions import (
    LeaseLapsedError,
    PlatformError,
    StoreConflictError,
    StoreOutcomeUnknownError,
)
from ..logs.lines import LogLines
from ..models.ids import HostName
from ..platform.store import Item, MetadataStore, Write
from ..utils.clock import boot_time

ORDERS_KEY = "siskinlever/orders"
# Two consecutive renewals may fail before the lease expires.
RENEWALS_PER_LEASE = 4
# Seconds before the expiry of the lease at which sending stops, so that an order
# arrives before the lease ends.
SEND_MARGIN_S = 0.5
# Seconds between attempts to acquire the lease while another host holds it.
ACQUIRE_PERIOD_S = 2.0
# Revisions of one era of the store are below this number. They are given out again in
# the next era, so a fencing token counts the era first.
REVISIONS_PER_ERA = 2**32


class OrderLease:
    """Acquires and renews the lease for stage orders in the metadata store.

    Parameters
    ----------
    store : MetadataStore
    host : str
    ttl_s : float
        Seconds after which the lease expires without a renewal.
    log : LogLines
    is_held_elsewhere : callable
        Returns whether a reachable host reports that it holds the lease. The
        result is only a hint; the store decides.
    is_first_start : bool, default=True
        Whether the whole fleet starts. If False, the store may have been restored
        just before the start of this process.
    """

    def __init__(
        self,
        store: MetadataStore,
        host: HostName,
        ttl_s: float,
        log: LogLines,
        is_held_elsewhere: Callable[[], bool],
        is_first_start: bool = True,
    ) -> None:
        self._store = store
        self._host = host
        self._ttl_s = ttl_s
        self._log = log
        self._is_held_elsewhere = is_held_elsewhere
        self._lease = 0
        self._valid_until = float("-inf")
        self._may_order_from = float("inf")
        self.fencing_token = 0
        self._restored_at = float("-inf") if is_first_start else boot_time()
        store.on_restoration(self._handle_restoration)

    @property
    def may_order(self) -> bool:
        """Whether this host is guaranteed to hold the lease and may send an order.

        Check this immediately before each order. The clock includes time for
        which the machine was suspended, so a lease that expired during a
        suspension is not treated as valid.
        """
        now = boot_time()
        return self._may_order_from <= now < self._valid_until - SEND_MARGIN_S

    @property
    def is_held(self) -> bool:
        """Whether this host holds the lease according to its own state.

        Unlike `may_order`, this does not compare the clock with the expiry.
        """
        return self._lease != 0

    def mark_lost(self, reason: str) -> None:
        """Stop sending orders; the store removes the record when its lease expires."""
        if self._lease:
            self._log.write("orders.lost", token=self.fencing_token, reason=reason)
        self._lease = 0
        self._valid_until = float("-inf")

    def _handle_restoration(self) -> None:
        self._restored_at = boot_time()
        self.mark_lost("the store was restored")

    async def run(self) -> None:
        """Acquire the lease and keep it until cancelled."""
        while True:
            try:
                if self._lease:
                    await self._renew()
                else:
                    await self._acquire()
            except PlatformError as error:
                self._handle_failure(error)
            period_s = (
                self._ttl_s / RENEWALS_PER_LEASE if self._lease else ACQUIRE_PERIOD_S
            )
            await asyncio.sleep(period_s)

    async def _renew(self) -> None:
        started_at, lease = boot_time(), self._lease
        try:
            await self._store.renew_lease(lease)
        except LeaseLapsedError as error:
            self.mark_lost(error.message)
            return
        if self._lease != lease:
            # The store was restored meanwhile and may have given the id out again.
            return
        if started_at >= self._valid_until:
            # Another host may have held the lease between expiry and renewal.
            self.mark_lost("renewal was sent after the lease had expired")
            return
        self._valid_until = started_at + self._ttl_s

    async def _acquire(self) -> None:
        if self._is_held_elsewhere():
            return
        item = await self._store.read(ORDERS_KEY)
        era = self._store.era
        if item is not None:
            await self._remove_own(item)
            return
        started_at = boot_time()
        lease = await self._store.open_lease(self._ttl_s)
        value = f"{self._host} {secrets.token_hex(8)}".encode()
        try:
            token = await self._store.transact(
                {ORDERS_KEY: 0}, [Write(ORDERS_KEY, value, lease)]
            )
        except StoreConflictError:
            await self._store.end_lease(lease)
            return
        except StoreOutcomeUnknownError:
            item = await self._store.read(ORDERS_KEY)
            if item is None or item.value != value:
                raise
            token = item.revision
        if self._store.era != era:
            # The lease may be another host's now. The next attempt removes the record.
            return
        self._lease = lease
        self.fencing_token = era * REVISIONS_PER_ERA + token
        self._valid_until = started_at + self._ttl_s
        # After one TTL, all orders of the previous holder have arrived. If the store
        # lost its record, it may have gone on until its lease would have ended.
        self._may_order_from = max(
            boot_time() + self._ttl_s, self._restored_at + 2 * self._ttl_s
        )
        self._log.write("orders.held", token=self.fencing_token, lease=lease)

    async def _remove_own(self, item: Item) -> None:
        """Remove a record of this host, which does not hold the lease.

        Its lease may have been opened before the store was restored, and belong to
        another host since.
        """
        if item.value.split(b" ")[0] != self._host.encode():
            return
        await self._store.transact({ORDERS_KEY: item.revision}, removals=[ORDERS_KEY])
        self._log.write("orders.record_removed", revision=item.revision)

    def _handle_failure(self, error: PlatformError) -> None:
        if self._lease and boot_time() >= self._valid_until:
            self.mark_lost(error.message)
