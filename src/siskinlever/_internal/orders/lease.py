"""Lease that permits a single host to send orders to the runners of a pool."""

from __future__ import annotations

from contextlib import suppress

from ..coordination.key_value import KeyValueClient
from ..exceptions import PlatformError, StoreOutcomeUnknownError
from ..utils.clock import boot_time

LEASE_TTL_S = 10.0
RENEW_PERIOD_S = 3.0
# Seconds before the expiry of the lease at which sending stops, so that the lease
# does not expire while an order is in transit.
SEND_MARGIN_S = 1.0


class PoolLease:
    """Lease on the record of one pool in the key-value service.

    Parameters
    ----------
    key_value : KeyValueClient
    key : str
    host : str
    """

    def __init__(self, key_value: KeyValueClient, key: str, host: str) -> None:
        self._key_value = key_value
        self._key = key
        self._host = host
        self._session = ""
        self._version = 0
        self._token_offset = 0
        self._valid_until = float("-inf")
        self._renewed_at = float("-inf")

    @property
    def may_send(self) -> bool:
        """Whether this host is guaranteed to hold the lease, according to its clock.

        Check this immediately before each order: a process that was paused
        detects the expiry of its lease only by reading the clock. The clock
        includes time for which the machine was suspended.
        """
        return boot_time() < self._valid_until - SEND_MARGIN_S

    @property
    def fencing_token(self) -> int:
        """Token sent with each order; higher than the tokens of all earlier holders.

        After the store was restored, it may be lower until `raise_token` raises it.
        """
        return self._version + self._token_offset

    @property
    def renewal_due(self) -> bool:
        return boot_time() - self._renewed_at >= RENEW_PERIOD_S

    async def acquire(self) -> bool:
        """Try to acquire the lease; return whether this host holds it.

        Raises
        ------
        PlatformError
        """
        record = await self._key_value.get(self._key)
        if record is not None and record.session:
            return False
        started_at = boot_time()
        session = await self._key_value.open_lease(
            f"orders/{self._host}", LEASE_TTL_S, delete_records=False
        )
        # If the answer is lost, the record is read to determine the outcome.
        with suppress(StoreOutcomeUnknownError):
            await self._key_value.put_and_acquire(
                self._key, self._host.encode(), session
            )
        if not await self._is_held_by(session):
            await self._key_value.close_lease(session)
            return False
        self._session = session
        self._renewed_at = started_at
        self._valid_until = started_at + LEASE_TTL_S
        return True

    async def renew(self) -> None:
        """Renew the lease; if the call fails, the lease keeps its expiry time."""
        started_at = boot_time()
        try:
            renewed = await self._key_value.renew_lease(self._session)
        except PlatformError:
            return
        if not renewed:
            self._valid_until = float("-inf")
            return
        self._renewed_at = started_at
        self._valid_until = started_at + LEASE_TTL_S

    async def raise_token(self, observed: int) -> bool:
        """Raise the token above one observed at a runner, if this host is the holder.

        A store that was restored to an older state issues lower versions than
        before. A host may raise its token only if the store confirms, after the token
        was observed, that it still holds the lease; otherwise its state is out of
        date.

        Returns
        -------
        is_holder : bool
            False if the lease is no longer held by this host.

        Raises
        ------
        PlatformError
        """
        if not await self._is_held_by(self._session):
            self._valid_until = float("-inf")
            return False
        if observed >= self.fencing_token:
            self._token_offset = observed + 1 - self._version
        return True

    async def release(self) -> None:
        """Close the lease.

        Raises
        ------
        PlatformError
        """
        self._valid_until = float("-inf")
        if self._session:
            await self._key_value.close_lease(self._session)
            self._session = ""

    async def _is_held_by(self, session: str) -> bool:
        record = await self._key_value.get(self._key)
        if record is None or not session or record.session != session:
            return False
        self._version = record.version
        return True
