"""Claims: permission to dispatch a request that must run at most once.

A claim is a record in the key-value service that is created before the dispatch
and carries a nonce. A claim is never taken over, because a holder that seems
dead may only be paused. It is deleted when its lease ends, or by its holder if
the holder certainly did not dispatch the request.
"""

from __future__ import annotations

import asyncio
import uuid
from typing import Annotated

from expression import Error, Ok, Result
from pydantic import Field

from ..coordination.key_value import KeyValueClient
from ..exceptions import PlatformError
from ..metrics.registry import Metrics
from ..models.declaration import StrictModel
from ..models.outcome import Failed, Reason, Refused
from ..utils.clock import Deadline
from ..utils.digests import content_digest
from ..utils.tasks import TaskSet
from ..utils.validation import parse_json
from .claim_batches import ClaimBatches, CreateResult

CLAIM_TIMEOUT_S = 1.5
STORE_RETRY_S = 5.0
CREATE_PAUSE_S = 0.05
INITIAL_RELEASE_BACKOFF_S = 0.5
MAX_RELEASE_BACKOFF_S = 16.0
RELEASE_TIMEOUT_S = 600.0
# A write whose answer was lost may still take effect within this time.
MAX_WRITE_DELAY_S = 10.0

ClaimResult = Result[str, Refused | Failed]


class ClaimRecord(StrictModel):
    """Value of a claim's record in the key-value service."""

    nonce: str
    host: str
    body_digest: str
    version: Annotated[int, Field(ge=1)] = 1


class Claims:
    """Creates and releases claims.

    Parameters
    ----------
    key_value : KeyValueClient
    batches : ClaimBatches
    prefix, host : str
    tasks : TaskSet
    metrics : Metrics
    """

    def __init__(
        self,
        key_value: KeyValueClient,
        batches: ClaimBatches,
        prefix: str,
        host: str,
        tasks: TaskSet,
        metrics: Metrics,
    ) -> None:
        self._key_value = key_value
        self._batches = batches
        self._prefix = f"{prefix}/claims"
        self._host = host
        self._tasks = tasks
        self._metrics = metrics
        self._backoff_until = Deadline(0.0)
        # Nonces of claims with an unanswered write, which may have taken effect.
        self._unconfirmed_nonces: set[str] = set()

    async def claim(self, request_key: str, body_digest: str) -> ClaimResult:
        """Create the claim of a request.

        Returns
        -------
        result : Result
            On success, the nonce with which this host may dispatch the request
            once.
        """
        if not self._backoff_until.passed:
            return _store_refusal("the key-value service is slow")
        record = ClaimRecord(
            nonce=uuid.uuid4().hex, host=self._host, body_digest=body_digest
        )
        resolved = False
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_S):
                result = await self._create(self._key(request_key), record)
            resolved = True
        except TimeoutError:
            self._backoff_until = Deadline(CLAIM_TIMEOUT_S)
            result = _store_refusal("the key-value service did not answer in time")
        except PlatformError as error:
            resolved = record.nonce not in self._unconfirmed_nonces
            result = _store_refusal(error.message)
        finally:
            self._unconfirmed_nonces.discard(record.nonce)
            if not resolved:
                self._start_release(request_key, record.nonce)
        return result

    async def release(self, request_key: str, nonce: str) -> None:
        """Delete this host's claim of a request that it certainly did not dispatch.

        The first try is awaited, so that a caller that receives "not run" can
        repeat the request. If the try fails or finds no record, the release
        continues in the background until the deletion is confirmed, or no record
        has appeared for `MAX_WRITE_DELAY_S`, but for at most
        `RELEASE_TIMEOUT_S`. After that the claim is deleted when its lease ends.
        """
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_S):
                if await self._delete_own(self._key(request_key), nonce):
                    return
        except (TimeoutError, PlatformError):
            self._metrics.count("claim_release_retries")
        self._start_release(request_key, nonce)

    def _start_release(self, request_key: str, nonce: str) -> None:
        self._tasks.start(self._release(request_key, nonce), "release-claim")

    async def _create(self, key: str, record: ClaimRecord) -> ClaimResult:
        """Create a record; after a lost answer, read it back or repeat the write.

        The write is repeated only with the same nonce and only if there is no
        record, so it takes effect at most once.
        """
        value = record.model_dump_json().encode()
        while True:
            create_result = await self._batches.create(key, value)
            if create_result is CreateResult.CREATED:
                return Ok(record.nonce)
            if create_result is CreateResult.UNKNOWN:
                self._unconfirmed_nonces.add(record.nonce)
            found = await self._key_value.get(key)
            if found is not None:
                return self._check_owner(found.value, record)
            await asyncio.sleep(CREATE_PAUSE_S)

    def _check_owner(self, value: bytes, own: ClaimRecord) -> ClaimResult:
        """Return the result of a claim whose record already exists."""
        found, _ = parse_json(ClaimRecord, value)
        if found is not None and found.nonce == own.nonce:
            return Ok(own.nonce)
        if found is not None and found.body_digest != own.body_digest:
            message = "this request id was used for another request"
            return Error(Failed(Reason.DUPLICATE, message))
        return Error(Failed(Reason.CLAIM_EXISTS, "this request ran, or may have run"))

    async def _release(self, request_key: str, nonce: str) -> None:
        key = self._key(request_key)
        deadline = Deadline(RELEASE_TIMEOUT_S)
        late_write_deadline = Deadline(MAX_WRITE_DELAY_S)
        pause_s = INITIAL_RELEASE_BACKOFF_S
        while not deadline.passed:
            try:
                if await self._delete_own(key, nonce) or late_write_deadline.passed:
                    return
            except PlatformError:
                self._metrics.count("claim_release_retries")
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_RELEASE_BACKOFF_S)
        self._metrics.count("claims_left")

    async def _delete_own(self, key: str, nonce: str) -> bool:
        """Delete the record if it belongs to this claim.

        Returns
        -------
        resolved : bool
            False if there is no record, as a late write may still create it.
        """
        found = await self._key_value.get(key)
        if found is None:
            return False
        record, _ = parse_json(ClaimRecord, found.value)
        if record is None or record.nonce != nonce:
            return True
        await self._key_value.delete(key, found.version)
        return True

    def _key(self, request_key: str) -> str:
        return f"{self._prefix}/{content_digest(request_key.encode())}"


def _store_refusal(message: str) -> ClaimResult:
    return Error(Refused(Reason.STORE_UNAVAILABLE, STORE_RETRY_S, message))
