"""The lease that makes one host the orderer of a pool."""

from __future__ import annotations

from contextlib import suppress

from ..coordination.key_value import KeyValueClient
from ..exceptions import PlatformError, StoreOutcomeUnknownError
from ..utils.clock import monotonic

LEASE_TTL_S = 10.0
RENEW_PERIOD_S = 3.0
# An order must not be sent so late that the lease lapses on its way.
SEND_MARGIN_S = 1.0


class PoolLease:
    """Holds the record of one pool by a lease of the key-value service.

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
        self._token_base = 0
        self._lapses_at = float("-inf")
        self._renewed_at = float("-inf")

    @property
    def may_send(self) -> bool:
        """Whether this host is certainly the holder now, by its own clock.

        To be asked right before each order: a process that was frozen believes
        its old lease until it looks at the clock.
        """
        return monotonic() < self._lapses_at - SEND_MARGIN_S

    @property
    def fencing_token(self) -> int:
        """Higher than the tokens of all earlier holders."""
        return self._version + self._token_base

    @property
    def renewal_due(self) -> bool:
        return monotonic() - self._renewed_at >= RENEW_PERIOD_S

    async def acquire(self) -> bool:
        """Try to become the holder; raises `PlatformError`."""
        record = await self._key_value.get(self._key)
        if record is not None and record.session:
            return False
        started_at = monotonic()
        session = await self._key_value.open_lease(
            f"orders/{self._host}", LEASE_TTL_S, delete_records=False
        )
        # If the answer is lost, reading the record back tells.
        with suppress(StoreOutcomeUnknownError):
            await self._key_value.put_if_held(self._key, self._host.encode(), session)
        if not await self._is_held_by(session):
            await self._key_value.close_lease(session)
            return False
        self._session = session
        self._renewed_at = started_at
        self._lapses_at = started_at + LEASE_TTL_S
        return True

    async def renew(self) -> None:
        """Renew the lease; with no answer it lapses at its time."""
        started_at = monotonic()
        try:
            renewed = await self._key_value.renew_lease(self._session)
        except PlatformError:
            return
        if not renewed:
            self._lapses_at = float("-inf")
            return
        self._renewed_at = started_at
        self._lapses_at = started_at + LEASE_TTL_S

    async def raise_token(self, observed: int) -> bool:
        """Make the token higher than one seen at a runner; raises `PlatformError`.

        A store restored to an older state hands out versions that are lower
        than those before. Only a holder that is confirmed after the token was
        seen may go above it: another one is out of date.
        """
        if not await self._is_held_by(self._session):
            self._lapses_at = float("-inf")
            return False
        if observed >= self.fencing_token:
            self._token_base = observed + 1 - self._version
        return True

    async def release(self) -> None:
        """Give the lease up."""
        self._lapses_at = float("-inf")
        if self._session:
            await self._key_value.close_lease(self._session)
            self._session = ""

    async def _is_held_by(self, session: str) -> bool:
        record = await self._key_value.get(self._key)
        if record is None or not session or record.session != session:
            return False
        self._version = record.version
        return True
