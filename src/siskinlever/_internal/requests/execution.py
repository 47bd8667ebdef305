"""Runs a model request: registers it, reserves runners and generates the answer."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from ..engines.registry import Engines
from ..exceptions import EngineError, KVCacheLostError
from ..membership.members import MemberTable
from ..metrics.registry import Metrics
from ..models.events import EventKind
from ..models.ids import Attempt, ReservationId
from ..models.outcome import (
    Answered,
    Failed,
    Reason,
    Refused,
    RequestResult,
    as_may_have_run,
)
from ..models.work import ModelRequest, PlacementRequest
from ..routing.placement import AdoptingPlacement, Placement, Reservation
from ..timeline.recorder import Recorder
from ..utils.clock import Deadline, monotonic
from ..utils.digests import content_digest
from ..utils.prompts import estimated_tokens, prefix_hashes
from ..utils.tasks import TaskSet
from .aborts import AbortQueue
from .generation import Generator
from .registration import Registrar, Validity
from .running import (
    AttemptEndedError,
    AttemptPhase,
    LiveAttempt,
    Sink,
    taken_over_failure,
)

PLACEMENT_TRIES = 3
# Time limit for placing the rest of an answer that was interrupted.
CONTINUATION_TIMEOUT_S = 5.0
ABANDON_WAIT_S = 1.0


class Executor:
    """Runs the model requests that this host serves."""

    def __init__(
        self,
        members: MemberTable,
        engines: Engines,
        placement: Placement,
        registrar: Registrar,
        aborts: AbortQueue,
        recorder: Recorder,
        metrics: Metrics,
        tasks: TaskSet,
    ) -> None:
        self._members = members
        self._placement = placement
        self._registrar = registrar
        self._aborts = aborts
        self._recorder = recorder
        self._metrics = metrics
        self._tasks = tasks
        self._generator = Generator(engines, registrar, recorder, metrics)
        self.running_by_key: dict[str, LiveAttempt] = {}

    async def run(self, request: ModelRequest, sink: Sink) -> RequestResult:
        """Run a request to completion; cancelling the task cancels the request."""
        started_at = monotonic()
        self._recorder.record(
            EventKind.REQUEST_ACCEPTED, request.request_id, model=request.model.name
        )
        registration = await self._registrar.register(request)
        if registration.is_error():
            return self._report(request, registration.error, started_at)
        registered_attempt = registration.ok
        attempt = LiveAttempt(
            request,
            registered_attempt,
            asyncio.current_task(),
            may_have_run=registered_attempt.ran,
            handles=registered_attempt.previous_handles,
        )
        return self._report(request, await self._run(attempt, sink), started_at)

    async def _recheck(
        self, attempt: LiveAttempt, request_result: RequestResult
    ) -> RequestResult:
        """Confirm with a replica that a refused request was not run.

        This is necessary if the caller chose the request id: the caller may have
        repeated the request at another host, and this host may have been paused
        since it refused the request, so the refusal may be out of date.
        """
        if not isinstance(request_result, Refused) or attempt.request.generated_id:
            return request_result
        confirmation = await self._registrar.confirm(
            attempt.request, attempt.registered_attempt, attempt.handles
        )
        if confirmation.allows_not_run:
            return request_result
        if confirmation.validity is Validity.REPLACED:
            return taken_over_failure()
        return as_may_have_run(request_result)

    def stop(self, workspace: str, request_id: str, newer: Attempt) -> bool:
        """Stop an attempt that a newer one has replaced."""
        attempt = self.running_by_key.get(f"{workspace}/{request_id}")
        if attempt is None or attempt.registered_attempt.number >= newer:
            return False
        attempt.end_for_newer()
        return True

    async def _run(self, attempt: LiveAttempt, sink: Sink) -> RequestResult:
        try:
            with self._tracked(attempt):
                request_result = await self._serve(attempt, sink)
                return await self._recheck(attempt, request_result)
        except AttemptEndedError as error:
            return error.request_result
        except asyncio.CancelledError:
            if not attempt.is_replaced or attempt.task is None:
                raise
            # A newer attempt cancelled this task. The caller did not, and still
            # needs a reply.
            attempt.task.uncancel()
            return taken_over_failure()

    @contextmanager
    def _tracked(self, attempt: LiveAttempt) -> Iterator[None]:
        request = attempt.request
        earlier = self.running_by_key.get(request.key)
        if earlier is not None:
            if earlier.registered_attempt.number > attempt.registered_attempt.number:
                raise AttemptEndedError(taken_over_failure())
            earlier.end_for_newer()
        self.running_by_key[request.key] = attempt
        try:
            yield
        finally:
            if self.running_by_key.get(request.key) is attempt:
                del self.running_by_key[request.key]
            if attempt.phase is not AttemptPhase.COMPLETED:
                self._tasks.start(self._release(attempt), "release")

    async def _release(self, attempt: LiveAttempt) -> None:
        """Abort the attempt's generations, unless a newer attempt has adopted them."""
        abandoned = self._tasks.start(
            self._registrar.abandon(
                attempt.request, attempt.registered_attempt, attempt.may_have_run
            ),
            "abandon",
        )
        if attempt.phase is AttemptPhase.DECODING:
            # A replica that does not reply must not delay freeing the engine's
            # memory.
            await asyncio.wait({abandoned}, timeout=ABANDON_WAIT_S)
            if attempt.is_replaced or (abandoned.done() and abandoned.result()):
                return
        self._abort(attempt)

    def _abort(self, attempt: LiveAttempt) -> None:
        for handle in attempt.handles:
            self._aborts.add(handle.address, handle.engine_request_id)
        attempt.handles = ()

    async def _serve(self, attempt: LiveAttempt, sink: Sink) -> RequestResult:
        if await self._try_adopt(attempt, sink):
            return await self._complete(attempt)
        self._check_resumable(attempt)
        excluded: set[str] = set()
        failure: EngineError | None = None
        for try_number in range(PLACEMENT_TRIES):
            placement_request = self._placement_request(
                attempt, try_number, frozenset(excluded)
            )
            async with self._placement.place(placement_request) as placed:
                if placed.is_error():
                    return attempt.as_reported(placed.error)
                failure = await self._run_placement(attempt, placed.ok, sink, excluded)
            if failure is None:
                return await self._complete(attempt)
        message = failure.message if failure else ""
        return Failed(Reason.ENGINE_FAILED, f"the engines failed: {message}")

    async def _try_adopt(self, attempt: LiveAttempt, sink: Sink) -> bool:
        """Adopt the generation of the attempt that was taken over, if it still runs."""
        await self._registrar.stop_previous(attempt.request, attempt.registered_attempt)
        handles = attempt.handles
        placement = self._placement
        if not handles:
            return False
        if not isinstance(placement, AdoptingPlacement):
            self._abort(attempt)
            return False
        placement_request = self._placement_request(attempt, 0, frozenset())
        moved_id = ReservationId(handles[-1].engine_request_id)
        async with placement.adopt(
            placement_request, moved_id, handles[0].runner, handles[-1].runner
        ) as reservation:
            if reservation is not None and _starts_at_first_chunk(moved_id):
                failure = await self._try_resume(attempt, reservation, sink)
                if failure is None:
                    self._metrics.count("generations_adopted")
                    return True
        self._abort(attempt)
        return False

    async def _try_resume(
        self, attempt: LiveAttempt, reservation: Reservation, sink: Sink
    ) -> EngineError | None:
        attempt.phase = AttemptPhase.DECODING
        attempt.reservation = reservation
        try:
            await self._generator.resume(attempt, 0, sink)
        except EngineError as error:
            attempt.phase = AttemptPhase.PLACING
            return error
        return None

    async def _run_placement(
        self,
        attempt: LiveAttempt,
        reservation: Reservation,
        sink: Sink,
        excluded: set[str],
    ) -> EngineError | None:
        """Generate on one placement.

        After a failure, abort the generations and exclude the runner that
        failed, unless it only lost the KV cache.
        """
        try:
            await self._generator.generate(attempt, reservation, sink)
        except EngineError as error:
            self._metrics.count("engine_failures")
            grant = reservation.grant
            decoding = attempt.phase is AttemptPhase.DECODING
            failed = grant.decode if decoding else grant.prefill
            if not isinstance(error, KVCacheLostError):
                excluded.add(failed.name)
            self._abort(attempt)
            attempt.phase = AttemptPhase.PLACING
            return error
        return None

    async def _complete(self, attempt: LiveAttempt) -> RequestResult:
        validity = await self._registrar.complete(
            attempt.request, attempt.registered_attempt
        )
        if validity is Validity.REPLACED:
            return taken_over_failure()
        if validity is Validity.UNKNOWN:
            return Failed(Reason.OVERLOADED, "the request's home did not answer")
        attempt.phase = AttemptPhase.COMPLETED
        text = "".join(attempt.text)
        return Answered(text, attempt.prompt_tokens, len(attempt.text))

    def _check_resumable(self, attempt: LiveAttempt) -> None:
        """Reject a resumption whose earlier chunks cannot be reproduced.

        Without a seed or temperature 0 a new generation may differ from the
        part that the caller holds.
        """
        request = attempt.request
        seeded = request.sampling.get("temperature") == 0 or "seed" in request.sampling
        if request.resume_after is None or seeded or attempt.text:
            return
        raise AttemptEndedError(
            Failed(
                Reason.NOT_RESUMABLE,
                "the earlier answer is lost: ask again without Last-Event-ID",
                0.0,
            )
        )

    def _placement_request(
        self, attempt: LiveAttempt, try_number: int, excluded: frozenset[str]
    ) -> PlacementRequest:
        request = attempt.request
        own = self._members.own
        produced = len(attempt.text)
        prompt = request.prompt + "".join(attempt.text)
        digest = content_digest(request.key.encode())[:16]
        attempt_number = attempt.registered_attempt.number
        # The last part is the number of chunks that the answer had before this
        # generation; `_starts_at_first_chunk` reads it.
        reservation_id = (
            f"{own.host}~{own.incarnation}~{digest}"
            f"~{attempt_number}~{try_number}~{produced}"
        )
        due = request.first_token_due
        return PlacementRequest(
            reservation_id=ReservationId(reservation_id),
            request_id=request.request_id,
            model=request.model,
            prompt_tokens=estimated_tokens(prompt),
            max_tokens=request.max_tokens - produced,
            prefix_hashes=prefix_hashes(prompt),
            first_token_due=Deadline(CONTINUATION_TIMEOUT_S)
            if attempt.is_continuation
            else due,
            excluded_runners=excluded,
        )

    def _report(
        self, request: ModelRequest, request_result: RequestResult, started_at: float
    ) -> RequestResult:
        outcome = request_result.outcome
        self._metrics.count("requests", model=request.model.name, outcome=outcome.value)
        if isinstance(request_result, Answered):
            self._metrics.observe("answer", monotonic() - started_at)
        self._recorder.record(
            EventKind.REQUEST_ENDED, request.request_id, outcome=outcome.value
        )
        return request_result


def _starts_at_first_chunk(reservation_id: ReservationId) -> bool:
    """Whether a generation started with the first chunk of its answer."""
    return reservation_id.rpartition("~")[2] == "0"
