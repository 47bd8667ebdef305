"""Stores deferred drafts and their results in the key-value service.

A draft has two records: its body, and a small holder record that is bound to
the lease of the host that runs the draft. The holder records are listed to find
drafts that no host holds. The result replaces both records in one transaction
and is created only if there is none, so a second execution cannot replace the
first answer.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated, Any, TypeVar

from pydantic import Field

from ..coordination.key_value import (
    MAX_TXN_OPERATIONS,
    MUST_NOT_EXIST,
    CheckAbsent,
    Delete,
    KeyValueClient,
    Put,
    Record,
)
from ..exceptions import StoreUnavailableError
from ..models.declaration import StrictModel
from ..models.ids import WorkspaceName
from ..models.outcome import Outcome, Reason
from ..utils.digests import content_digest
from ..utils.validation import parse_json

M = TypeVar("M", bound=StrictModel)


class DraftBody(StrictModel):
    """The request of a draft, as it is stored.

    `due_at_ms` is a Unix time in milliseconds.
    """

    workspace: str
    request_id: str
    model: str
    prompt: str
    max_tokens: int
    sampling: dict[str, Any]
    chat: bool
    body_digest: str
    due_at_ms: int
    nonce: str
    version: Annotated[int, Field(ge=1)] = 1

    @property
    def digest(self) -> str:
        """Digest that names the draft's records."""
        return draft_digest(WorkspaceName(self.workspace), self.request_id)


class DraftHolder(StrictModel):
    """Host that runs a draft, or was the last to run it."""

    host: str
    version: Annotated[int, Field(ge=1)] = 1


class DraftResult(StrictModel):
    """Result of a draft; ``reason`` is set if there is no answer.

    `expires_at_ms` is a Unix time in milliseconds.
    """

    request_id: str
    model: str
    chat: bool
    body_digest: str
    expires_at_ms: int
    outcome: Annotated[Outcome, Field(strict=False)]
    text: str = ""
    finish_reason: str = "stop"
    prompt_tokens: int = 0
    completion_tokens: int = 0
    reason: Annotated[Reason | None, Field(strict=False)] = None
    message: str = ""
    version: Annotated[int, Field(ge=1)] = 1


class StoreResult(Enum):
    """Result of storing a draft."""

    STORED = "stored"
    ALREADY_STORED = "same"
    OTHER_BODY = "other_body"
    UNKNOWN = "unknown"


def draft_digest(workspace: WorkspaceName, request_id: str) -> str:
    """Return the digest that names a draft's records.

    It does not reveal the workspace or the request id.
    """
    return content_digest(f"{workspace}/{request_id}".encode())


class DraftStore:
    """Reads and writes the records of drafts.

    Parameters
    ----------
    key_value : KeyValueClient
    prefix, host : str
    """

    def __init__(self, key_value: KeyValueClient, prefix: str, host: str) -> None:
        self._key_value = key_value
        self._prefix = f"{prefix}/drafts"
        self._holder = DraftHolder(host=host).model_dump_json().encode()

    async def store(self, body: DraftBody, lease: str) -> StoreResult:
        """Create a draft whose holder record is bound to `lease`.

        If `lease` is empty, no host holds the draft.

        Raises
        ------
        LeaseLapsedError
        StoreUnavailableError
            Nothing was written.
        StoreOutcomeUnknownError
        """
        digest = body.digest
        conflicts = await self._key_value.put_all(
            [
                CheckAbsent(self._result_key(digest)),
                Put(
                    self._body_key(digest),
                    body.model_dump_json().encode(),
                    MUST_NOT_EXIST,
                ),
                Put(self._holder_key(digest), self._holder, MUST_NOT_EXIST, lease),
            ]
        )
        return StoreResult.STORED if not conflicts else await self.check_stored(body)

    async def check_stored(self, body: DraftBody) -> StoreResult:
        """Return how a draft compares with what is stored under its digest.

        ``UNKNOWN`` if there is neither a draft nor a result yet, as a late write
        may still create the draft.
        """
        found = await self.read_body(body.digest)
        if found is not None and found.nonce == body.nonce:
            return StoreResult.STORED
        known = found or await self.read_result(body.digest)
        if known is None:
            return StoreResult.UNKNOWN
        same = known.body_digest == body.body_digest
        return StoreResult.ALREADY_STORED if same else StoreResult.OTHER_BODY

    async def finish(self, digest: str, result: DraftResult) -> bool:
        """Replace the draft with its result; return False if a result exists."""
        value = result.model_dump_json().encode()
        conflicts = await self._key_value.put_all(
            [
                Put(self._result_key(digest), value, MUST_NOT_EXIST),
                Delete(self._holder_key(digest)),
                Delete(self._body_key(digest)),
            ]
        )
        return not conflicts

    async def read_body(self, digest: str) -> DraftBody | None:
        """Read a draft's body; raises `StoreUnavailableError`."""
        record = await self._key_value.get(self._body_key(digest))
        return _parse(DraftBody, record)

    async def read_result(self, digest: str) -> DraftResult | None:
        """Read a draft's result; raises `StoreUnavailableError`."""
        record = await self._key_value.get(self._result_key(digest))
        return _parse(DraftResult, record)

    async def is_held(self, digest: str) -> bool | None:
        """Return whether a host holds a draft, or None if there is no such draft."""
        record = await self._key_value.get(self._holder_key(digest))
        return bool(record.session) if record else None

    async def list_unassigned(self, shard: str, own_lease: str = "") -> list[str]:
        """Return the digests of a shard's drafts that no other host holds."""
        prefix = f"{self._prefix}/held/"
        records = await self._key_value.list_prefix(prefix + shard)
        return [
            r.key.removeprefix(prefix) for r in records if r.session in ("", own_lease)
        ]

    async def acquire(self, digest: str, lease: str) -> bool:
        """Acquire a draft; return False if another host holds it."""
        return await self._key_value.put_and_acquire(
            self._holder_key(digest), self._holder, lease
        )

    async def delete_holder(self, digest: str) -> None:
        """Delete the holder record of a draft that has no body."""
        await self._key_value.put_all([Delete(self._holder_key(digest))])

    async def delete_expired(self, shard: str, now_ms: int) -> int:
        """Delete a shard's expired results and return their number."""
        records = await self._key_value.list_prefix(f"{self._prefix}/results/{shard}")
        expired = [
            Delete(record.key)
            for record in records
            if (result := _parse(DraftResult, record)) is not None
            and result.expires_at_ms <= now_ms
        ]
        for start in range(0, len(expired), MAX_TXN_OPERATIONS):
            await self._key_value.put_all(expired[start : start + MAX_TXN_OPERATIONS])
        return len(expired)

    def _body_key(self, digest: str) -> str:
        return f"{self._prefix}/bodies/{digest}"

    def _holder_key(self, digest: str) -> str:
        return f"{self._prefix}/held/{digest}"

    def _result_key(self, digest: str) -> str:
        return f"{self._prefix}/results/{digest}"


def _parse(model: type[M], record: Record | None) -> M | None:
    if record is None:
        return None
    value, faults = parse_json(model, record.value)
    if value is None:
        raise StoreUnavailableError(f"{record.key} is damaged: {faults}")
    return value
