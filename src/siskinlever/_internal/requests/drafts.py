"""Deferred drafts: requests that run in the background and are fetched later.

A draft is acknowledged only after the key-value service has stored it. The host
that accepted it runs it and holds it with a lease. If the lease lapses, another
host finds the draft and resumes it (see `draft_recovery`).
"""

from __future__ import annotations

import asyncio
import time
import uuid
from contextlib import suppress

from absl import logging
from expression import Error, Ok, Result

from ..configuration.current import CurrentConfiguration
from ..coordination.key_value import MAX_VALUE_BYTES, KeyValueClient
from ..coordination.leases import RenewedLease
from ..engines.base import Chunk
from ..exceptions import (
    LeaseLapsedError,
    PlatformError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from ..metrics.registry import Metrics
from ..models.events import EventKind
from ..models.ids import RequestId, WorkspaceName
from ..models.outcome import Answered, Failed, Outcome, Reason, Refused, RequestResult
from ..models.work import ModelRequest
from ..timeline.recorder import Recorder
from ..utils.clock import MS_PER_S, Deadline
from ..utils.tasks import TaskSet
from .draft_store import DraftBody, DraftResult, DraftStore, StoreResult, draft_digest
from .execution import Executor

MAX_RUNNING_DRAFTS = 32
STORE_TIMEOUT_S = 4.0
STORE_RETRY_S = 5.0
POLL_PERIOD_S = 0.2
RESOLVE_TRIES = 3
RESULT_RETRY_PAUSE_S = 1.0
MIN_BACKOFF_S = 0.5
MAX_BACKOFF_S = 60.0
RELEASE_ALL_TIMEOUT_S = 10.0
RESULT_RETENTION_S = 72 * 3600.0
# An answer's text is measured before it is encoded as JSON, so 10,000 bytes are left
# for escape sequences and the other fields. A draft is measured after encoding, with
# all its fields.
MAX_DRAFT_BYTES = MAX_VALUE_BYTES - 10_000


class DraftSink:
    """Receives the answer of a draft; the executor collects the text."""

    def __init__(self) -> None:
        self.finish_reason = "stop"

    async def send(self, chunk: Chunk) -> None:
        """Record why the engine ended the answer."""
        self.finish_reason = chunk.finish_reason or self.finish_reason


class Drafts:
    """Accepts drafts, runs them and returns their results.

    Parameters
    ----------
    store : DraftStore
    key_value : KeyValueClient
    executor : Executor
    current : CurrentConfiguration
    recorder : Recorder
    metrics : Metrics
    tasks : TaskSet
    """

    def __init__(
        self,
        store: DraftStore,
        key_value: KeyValueClient,
        executor: Executor,
        current: CurrentConfiguration,
        recorder: Recorder,
        metrics: Metrics,
        tasks: TaskSet,
    ) -> None:
        self._store = store
        self._executor = executor
        self._current = current
        self._recorder = recorder
        self._metrics = metrics
        self._tasks = tasks
        self._running_by_digest: dict[str, asyncio.Task[None]] = {}
        self._finishing: set[str] = set()
        self._stopping = False
        self.lease = RenewedLease(
            key_value,
            f"drafts of {recorder.host}",
            lambda: bool(self._running_by_digest or self._finishing),
            self._cancel_running,
            tasks,
        )

    @property
    def has_capacity(self) -> bool:
        """Whether this host can run one more draft."""
        return not self._stopping and len(self._running_by_digest) < MAX_RUNNING_DRAFTS

    async def accept(self, body: DraftBody) -> Result[None, Refused | Failed]:
        """Store a draft and start it.

        After `Ok` the draft survives the loss of all hosts. Continues if the
        caller disconnects, so that a stored draft is also started.
        """
        accept_task = self._tasks.start(self._accept(body), "accept-draft")
        result: Result[None, Refused | Failed] = await asyncio.shield(accept_task)
        return result

    async def _accept(self, body: DraftBody) -> Result[None, Refused | Failed]:
        if len(body.model_dump_json().encode()) > MAX_DRAFT_BYTES:
            message = "the draft is larger than the key-value service holds"
            return Error(Refused(Reason.TOO_LARGE, STORE_RETRY_S, message))
        store_result = StoreResult.UNKNOWN
        refused: Refused | None = None
        with suppress(TimeoutError):
            async with asyncio.timeout(STORE_TIMEOUT_S):
                try:
                    store_result = await self._store_once(body)
                except StoreUnavailableError as error:
                    message = error.message
                    refused = Refused(Reason.STORE_UNAVAILABLE, STORE_RETRY_S, message)
                except StoreOutcomeUnknownError:
                    store_result = await self._read_back(body)
        if refused is not None:
            return Error(refused)
        if store_result is StoreResult.UNKNOWN:
            self._tasks.start(self._resolve(body), "resolve-draft")
        return self._process_store_result(body, store_result)

    async def fetch(
        self, workspace: WorkspaceName, request_id: str
    ) -> DraftResult | bool | None:
        """Return a draft's result or state.

        Returns
        -------
        result : DraftResult or bool or None
            The result if there is one; otherwise True or False, whether a host
            holds the draft; None if there is no such draft.
        """
        digest = draft_digest(workspace, request_id)
        if digest in self._running_by_digest:
            return True
        result = await self._store.read_result(digest)
        if result is not None:
            return result
        held = await self._store.is_held(digest)
        # The draft may have finished between the two calls.
        return held if held is not None else await self._store.read_result(digest)

    async def list_unassigned(self, shard: str) -> list[str]:
        """Return the digests of a shard's drafts that no host runs.

        Includes drafts that are held by this host's lease but do not run here:
        the answer to the call that acquired a draft may have been lost.
        """
        digests = await self._store.list_unassigned(shard, self.lease.held)
        return [
            digest
            for digest in digests
            if digest not in self._running_by_digest and digest not in self._finishing
        ]

    async def resume(self, digest: str) -> None:
        """Acquire and start a draft that no host runs; raises `PlatformError`."""
        body = await self._store.read_body(digest)
        if body is None:
            await self._store.delete_holder(digest)
            return
        if await self._store.acquire(digest, await self.lease.current()):
            self._metrics.count("drafts_resumed")
            self._start(body)

    async def release_all(self) -> None:
        """Stop all drafts of this host and release them for other hosts."""
        self._stopping = True
        running = list(self._running_by_digest.values())
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        with suppress(TimeoutError):
            async with asyncio.timeout(RELEASE_ALL_TIMEOUT_S):
                while self._finishing:
                    await asyncio.sleep(POLL_PERIOD_S)
        with suppress(PlatformError):
            await self.lease.close()

    async def _store_once(self, body: DraftBody) -> StoreResult:
        lease = ""
        if self.has_capacity:
            # A draft without a lease is found by the next scan of its shard.
            with suppress(StoreOutcomeUnknownError):
                lease = await self.lease.current()
        try:
            return await self._store.store(body, lease)
        except LeaseLapsedError:
            self.lease.mark_lapsed(lease)
            return await self._store.store(body, "")

    async def _read_back(self, body: DraftBody) -> StoreResult:
        """Poll until it is known whether a write without an answer took effect.

        The caller limits the time.
        """
        store_result = StoreResult.UNKNOWN
        while store_result is StoreResult.UNKNOWN:
            await asyncio.sleep(POLL_PERIOD_S)
            with suppress(StoreUnavailableError):
                store_result = await self._store.check_stored(body)
        return store_result

    def _process_store_result(
        self, body: DraftBody, store_result: StoreResult
    ) -> Result[None, Refused | Failed]:
        if store_result is StoreResult.OTHER_BODY:
            message = "this request id was used for another draft"
            return Error(Failed(Reason.DUPLICATE, message))
        if store_result is StoreResult.UNKNOWN:
            message = "the key-value service did not confirm the draft"
            return Error(Failed(Reason.STORE_UNAVAILABLE, message, STORE_RETRY_S))
        if store_result is StoreResult.STORED:
            self._metrics.count("drafts_stored")
            self._recorder.record(EventKind.DRAFT_STORED, body.request_id)
            self._start(body)
        return Ok(None)

    async def _resolve(self, body: DraftBody) -> None:
        """Start a draft if its unconfirmed write turns out to have taken effect."""
        for _ in range(RESOLVE_TRIES):
            await asyncio.sleep(STORE_RETRY_S)
            with suppress(PlatformError):
                if await self._store.check_stored(body) is StoreResult.STORED:
                    self._start(body)
                    return

    def _start(self, body: DraftBody) -> None:
        digest = body.digest
        if self._stopping or digest in self._running_by_digest:
            return
        task = self._tasks.start(self._run(body), f"draft-{digest[:8]}")
        self._running_by_digest[digest] = task
        task.add_done_callback(lambda ended: self._on_task_done(digest, ended))

    def _on_task_done(self, digest: str, task: asyncio.Task[None]) -> None:
        if self._running_by_digest.get(digest) is task:
            del self._running_by_digest[digest]

    def _cancel_running(self) -> None:
        """Cancel running drafts, which other hosts may hold after the lease lapsed."""
        self._metrics.count("draft_leases_lapsed")
        for task in self._running_by_digest.values():
            task.cancel()

    async def _run(self, body: DraftBody) -> None:
        """Run a draft until it is answered or its deadline has passed."""
        pause_s = MIN_BACKOFF_S
        while True:
            deadline = Deadline(body.due_at_ms / MS_PER_S - time.time())
            if deadline.passed:
                self._finish(body, _overdue_result(body))
                return
            sink = DraftSink()
            request_result = await self._execute(body, deadline, sink)
            if isinstance(request_result, Answered):
                self._finish(
                    body, _answered_result(body, request_result, sink.finish_reason)
                )
                return
            self._metrics.count("draft_retries", reason=request_result.reason.value)
            await asyncio.sleep(
                max(pause_s, min(request_result.retry_after_s, MAX_BACKOFF_S))
            )
            pause_s = min(2 * pause_s, MAX_BACKOFF_S)

    async def _execute(
        self, body: DraftBody, deadline: Deadline, sink: DraftSink
    ) -> RequestResult:
        declaration = self._current.declaration
        model = declaration.model_by_name.get(body.model) if declaration else None
        if model is None:
            return Refused(Reason.NO_RUNNER, MAX_BACKOFF_S, "model not declared")
        request = ModelRequest(
            workspace=WorkspaceName(body.workspace),
            # Each execution has its own id, because another host may have
            # completed the draft earlier without storing the result.
            request_id=RequestId(f"{body.request_id}~{uuid.uuid4().hex[:12]}"),
            model=model,
            prompt=body.prompt,
            max_tokens=body.max_tokens,
            sampling=body.sampling,
            body_digest=body.body_digest,
            first_token_due=deadline,
        )
        try:
            return await self._executor.run(request, sink)
        except Exception as error:
            # It would end the task and leave the draft held but not running.
            logging.exception("draft failed request=%s", body.request_id)
            return Failed(Reason.INTERNAL, repr(error), MIN_BACKOFF_S)

    def _finish(self, body: DraftBody, result: DraftResult) -> None:
        self._finishing.add(body.digest)
        self._tasks.start(self._put_result(body, result), "draft-result")

    async def _put_result(self, body: DraftBody, result: DraftResult) -> None:
        """Store the result; retry until a result is confirmed to be stored."""
        is_first: bool | None = None
        try:
            while is_first is None:
                is_first = await self._put_once(body, result)
        finally:
            self._finishing.discard(body.digest)
        if not is_first:
            self._metrics.count("draft_results_dropped")
            return
        self._recorder.record(
            EventKind.DRAFT_RESULT, body.request_id, outcome=result.outcome.value
        )

    async def _put_once(self, body: DraftBody, result: DraftResult) -> bool | None:
        """Store the result.

        Returns
        -------
        is_first : bool or None
            Whether this result was stored; False if another one is stored, None
            if neither is confirmed.
        """
        try:
            return await self._store.finish(body.digest, result)
        except PlatformError:
            self._metrics.count("draft_result_retries")
        try:
            found = await self._store.read_result(body.digest)
        except PlatformError:
            found = None
        if found is not None:
            return found == result
        await asyncio.sleep(RESULT_RETRY_PAUSE_S)
        return None


def _answered_result(
    body: DraftBody, answered: Answered, finish_reason: str
) -> DraftResult:
    if len(answered.text.encode()) > MAX_DRAFT_BYTES:
        message = "the answer is larger than the key-value service holds"
        return _empty_result(body, Outcome.MAY_HAVE_RUN).model_copy(
            update={"reason": Reason.TOO_LARGE, "message": message}
        )
    return _empty_result(body, Outcome.ANSWERED).model_copy(
        update={
            "text": answered.text,
            "finish_reason": finish_reason,
            "prompt_tokens": answered.prompt_tokens,
            "completion_tokens": answered.completion_tokens,
        }
    )


def _overdue_result(body: DraftBody) -> DraftResult:
    message = "the draft was not answered by its deadline"
    return _empty_result(body, Outcome.MAY_HAVE_RUN).model_copy(
        update={"reason": Reason.TOO_LATE, "message": message}
    )


def _empty_result(body: DraftBody, outcome: Outcome) -> DraftResult:
    return DraftResult(
        request_id=body.request_id,
        model=body.model,
        chat=body.chat,
        body_digest=body.body_digest,
        expires_at_ms=int((time.time() + RESULT_RETENTION_S) * MS_PER_S),
        outcome=outcome,
    )
