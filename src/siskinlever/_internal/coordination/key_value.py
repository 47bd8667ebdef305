"""Client of the key-value service, which has Consul's HTTP interface.

The client uses ``/v1/kv`` with check-and-set and blocking queries,
``/v1/session`` for leases and ``/v1/txn`` for transactions.
"""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import aiohttp

from ..exceptions import (
    LeaseLapsedError,
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from ..metrics.registry import Metrics

CALL_TIMEOUT_S = 2.0
# Added to the wait time of a watch to obtain its timeout.
WATCH_GRACE_S = 2.0
MAX_VALUE_BYTES = 1_000_000
MAX_TXN_OPERATIONS = 64
MUST_NOT_EXIST = 0
INVALID_SESSION = "invalid session"


@dataclass(frozen=True, slots=True)
class Record:
    """A record of the key-value service.

    Parameters
    ----------
    key : str
    value : bytes
    version : int
        The record's ``ModifyIndex``.
    session : str
        Id of the lease that holds the record, or "".
    """

    key: str
    value: bytes
    version: int
    session: str = ""


@dataclass(frozen=True, slots=True)
class Put:
    """A write in a transaction, conditional on the version of the record.

    Parameters
    ----------
    key : str
    value : bytes
    expected_version : int
    session : str
        Id of the lease that holds the record after the write, or "".
    """

    key: str
    value: bytes
    expected_version: int
    session: str = ""

    @property
    def operations(self) -> list[dict[str, Any]]:
        """The write as operations of ``/v1/txn``.

        ``cas`` does not bind a record to a lease, so ``lock`` follows it.
        """
        value = base64.b64encode(self.value).decode()
        head = {"Key": self.key, "Value": value}
        cas: dict[str, Any] = {"Verb": "cas", "Index": self.expected_version}
        operations: list[dict[str, Any]] = [{"KV": head | cas}]
        if self.session:
            lock = {"Verb": "lock", "Session": self.session}
            operations.append({"KV": head | lock})
        return operations


@dataclass(frozen=True, slots=True)
class CheckAbsent:
    """A transaction condition which requires that a key does not exist."""

    key: str

    @property
    def operations(self) -> list[dict[str, Any]]:
        """The condition as operations of ``/v1/txn``."""
        return [{"KV": {"Verb": "check-not-exists", "Key": self.key}}]


@dataclass(frozen=True, slots=True)
class Delete:
    """An unconditional deletion in a transaction."""

    key: str

    @property
    def operations(self) -> list[dict[str, Any]]:
        """The deletion as operations of ``/v1/txn``."""
        return [{"KV": {"Verb": "delete", "Key": self.key}}]


class KeyValueClient:
    """Client of the key-value service.

    Parameters
    ----------
    session : aiohttp.ClientSession
    url : str
    metrics : Metrics
    """

    def __init__(
        self, session: aiohttp.ClientSession, url: str, metrics: Metrics
    ) -> None:
        self._session = session
        self._url = url.rstrip("/")
        self._metrics = metrics

    async def get(self, key: str) -> Record | None:
        """Return the record of a key, or None; raises `StoreUnavailableError`."""
        records = await self._read(key, {}, CALL_TIMEOUT_S)
        return records[0] if records else None

    async def list_prefix(self, prefix: str) -> list[Record]:
        """Return all records below a prefix; raises `StoreUnavailableError`."""
        return await self._read(prefix, {"recurse": "true"}, CALL_TIMEOUT_S)

    async def watch(self, key: str, after_version: int, wait_s: float) -> Record | None:
        """Wait up to ``wait_s`` seconds for a version later than ``after_version``.

        Returns
        -------
        record : Record or None
            The current record, whether it changed or not; None if it does not exist.

        Raises
        ------
        StoreUnavailableError
        """
        query = {"index": str(after_version), "wait": f"{wait_s:g}s"}
        records = await self._read(key, query, wait_s + WATCH_GRACE_S)
        return records[0] if records else None

    async def put(self, key: str, value: bytes, expected_version: int) -> None:
        """Write a record if it has the expected version.

        Parameters
        ----------
        key : str
        value : bytes
        expected_version : int
            `MUST_NOT_EXIST` to create the record.

        Raises
        ------
        StoreConflictError
            The record has another version; nothing was written.
        StoreUnavailableError
            The service was not reached or refused the call; nothing was written.
        StoreOutcomeUnknownError
            The answer was lost; the write may have taken effect.
        """
        succeeded = await self._write(
            "PUT", f"/v1/kv/{key}", params={"cas": str(expected_version)}, data=value
        )
        if succeeded is not True:
            raise StoreConflictError(f"{key} is not at version {expected_version}")

    async def put_and_acquire(self, key: str, value: bytes, session: str) -> bool:
        """Write a record and acquire it with a lease.

        Returns
        -------
        acquired : bool
            False if another lease holds the record; nothing was written then.
        """
        return bool(
            await self._write(
                "PUT", f"/v1/kv/{key}", params={"acquire": session}, data=value
            )
        )

    async def put_all(self, puts: Sequence[Put | Delete | CheckAbsent]) -> set[str]:
        """Apply several writes in one transaction.

        Parameters
        ----------
        puts : sequence of Put, Delete or CheckAbsent
            At most `MAX_TXN_OPERATIONS` operations; a put with a lease counts as
            two.

        Returns
        -------
        conflicts : set of str
            Keys that did not meet their condition; if not empty, nothing was
            written.

        Raises
        ------
        LeaseLapsedError
            The lease of a put has lapsed; nothing was written.
        StoreUnavailableError
        StoreOutcomeUnknownError
        """
        keyed = [(put.key, operation) for put in puts for operation in put.operations]
        operations = [operation for _, operation in keyed]
        answer = await self._write("PUT", "/v1/txn", json=operations, conflict_ok=True)
        errors = answer.get("Errors") or []
        if any(INVALID_SESSION in error.get("What", "") for error in errors):
            raise LeaseLapsedError("the lease has lapsed")
        return {keyed[error["OpIndex"]][0] for error in errors}

    async def delete(self, key: str, expected_version: int) -> None:
        """Delete a record if it has the expected version; raises like `put`."""
        succeeded = await self._write(
            "DELETE", f"/v1/kv/{key}", params={"cas": str(expected_version)}
        )
        if succeeded is not True:
            raise StoreConflictError(f"{key} is not at version {expected_version}")

    async def open_lease(self, name: str, ttl_s: float, delete_records: bool) -> str:
        """Open a lease and return its id.

        Parameters
        ----------
        name : str
            Name of the session that Consul shows.
        ttl_s : float
            Seconds after which the lease lapses unless it is renewed.
        delete_records : bool
            Whether the records that it holds are deleted when it ends, or only
            released.
        """
        behavior = "delete" if delete_records else "release"
        body = {
            "Name": name,
            "TTL": f"{ttl_s:g}s",
            "Behavior": behavior,
            "LockDelay": "0s",
        }
        answer = await self._write("PUT", "/v1/session/create", json=body)
        return str(answer["ID"])

    async def renew_lease(self, lease: str) -> bool:
        """Renew a lease; return False if it has lapsed."""
        answer = await self._write(
            "PUT", f"/v1/session/renew/{lease}", conflict_ok=True
        )
        return bool(answer)

    async def close_lease(self, lease: str) -> None:
        """End a lease immediately."""
        await self._write("PUT", f"/v1/session/destroy/{lease}")

    async def _read(
        self, key: str, query: dict[str, str], timeout_s: float
    ) -> list[Record]:
        self._metrics.count("store_calls", kind="read")
        url = f"{self._url}/v1/kv/{key}"
        try:
            async with asyncio.timeout(timeout_s):
                async with self._session.get(url, params=query) as response:
                    if response.status == 404:
                        return []
                    if response.status != 200:
                        raise StoreUnavailableError(f"status {response.status}")
                    return [_parse_record(item) for item in await response.json()]
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            self._metrics.count("store_failures", kind="read")
            raise StoreUnavailableError(f"key-value service: {error!r}") from error

    async def _write(
        self, method: str, path: str, conflict_ok: bool = False, **kwargs: Any
    ) -> Any:
        self._metrics.count("store_calls", kind="write")
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                async with self._session.request(
                    method, self._url + path, **kwargs
                ) as response:
                    content = await response.read()
        except aiohttp.ClientConnectorError as error:
            self._metrics.count("store_failures", kind="write")
            raise StoreUnavailableError(f"key-value service: {error!r}") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._metrics.count("store_failures", kind="write")
            raise StoreOutcomeUnknownError(f"key-value service: {error!r}") from error
        return _parse_write(response.status, content, conflict_ok)


def _parse_write(status: int, content: bytes, conflict_ok: bool) -> Any:
    conflict = status in (404, 409)
    if conflict and conflict_ok:
        return json.loads(content) if status == 409 else None
    if status == 429 or status == 503:
        raise StoreUnavailableError(f"status {status}")
    if status != 200:
        raise StoreOutcomeUnknownError(f"status {status}")
    return json.loads(content)


def _parse_record(item: dict[str, Any]) -> Record:
    value = base64.b64decode(item["Value"]) if item["Value"] else b""
    return Record(item["Key"], value, item["ModifyIndex"], item.get("Session", ""))
