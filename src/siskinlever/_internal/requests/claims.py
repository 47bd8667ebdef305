"""Permissions to run a request that may run at most once.

A claim is a record of the key-value service, created before the dispatch and
carrying a nonce. It is never taken over: its holder may only be paused.
"""

from __future__ import annotations

import asyncio
import uuid
from typing import Annotated

from expression import Error, Ok, Result
from pydantic import Field

from ..exceptions import (
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from ..models.declaration import Strict
from ..models.outcome import Failed, Reason, Refused
from ..platform.key_value import MUST_NOT_EXIST, KeyValueClient
from ..utils.digests import content_digest
from ..utils.validation import parse_json

STORE_RETRY_S = 5.0
READ_BACK_TRIES = 3
READ_BACK_PAUSE_S = 0.2


class ClaimRecord(Strict):
    """The value of a claim's record."""

    nonce: str
    host: str
    body_digest: str
    version: Annotated[int, Field(ge=1)] = 1


class Claims:
    """Makes and releases claims."""

    def __init__(self, key_value: KeyValueClient, prefix: str, host: str) -> None:
        self._key_value = key_value
        self._prefix = f"{prefix}/claims"
        self._host = host

    async def claim(
        self, request_key: str, body_digest: str
    ) -> Result[str, Refused | Failed]:
        """Create the claim of a request.

        Returns
        -------
        nonce : Result
            The nonce under which this host may dispatch, once.
        """
        key = self._key(request_key)
        nonce = uuid.uuid4().hex
        record = ClaimRecord(nonce=nonce, host=self._host, body_digest=body_digest)
        try:
            await self._key_value.put(
                key, record.model_dump_json().encode(), MUST_NOT_EXIST
            )
        except StoreUnavailableError as error:
            return Error(
                Refused(Reason.STORE_UNAVAILABLE, STORE_RETRY_S, error.message)
            )
        except (StoreConflictError, StoreOutcomeUnknownError):
            return await self._read_back(key, nonce)
        return Ok(nonce)

    async def release(self, request_key: str, nonce: str) -> bool:
        """Delete this host's claim of a request it certainly did not dispatch."""
        key = self._key(request_key)
        try:
            found = await self._key_value.get(key)
            if found is None:
                return True
            record, _ = parse_json(ClaimRecord, found.value)
            if record is None or record.nonce != nonce:
                return False
            await self._key_value.delete(key, found.version)
        except (
            StoreConflictError,
            StoreOutcomeUnknownError,
            StoreUnavailableError,
        ):
            return False
        return True

    async def _read_back(self, key: str, nonce: str) -> Result[str, Refused | Failed]:
        """Learn whose claim the record holds."""
        for _ in range(READ_BACK_TRIES):
            try:
                found = await self._key_value.get(key)
            except StoreUnavailableError:
                await asyncio.sleep(READ_BACK_PAUSE_S)
                continue
            if found is None:
                # The lost write may still arrive; this host never dispatches.
                break
            record, _ = parse_json(ClaimRecord, found.value)
            if record is not None and record.nonce == nonce:
                return Ok(nonce)
            return Error(
                Failed(Reason.CLAIM_EXISTS, "this request id ran, or may have run")
            )
        return Error(
            Refused(
                Reason.STORE_UNAVAILABLE,
                STORE_RETRY_S,
                "the key-value service did not confirm the claim",
            )
        )

    def _key(self, request_key: str) -> str:
        return f"{self._prefix}/{content_digest(request_key.encode())}"
