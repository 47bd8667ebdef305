"""Generates an answer on the runners of one placement."""

from __future__ import annotations

from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing
from typing import cast

from ..engines.base import Chunk, EngineCall, PrefillResult
from ..engines.registry import Engines
from ..exceptions import StreamBrokenError
from ..metrics.registry import Metrics
from ..models.declaration import Runner, Urgency
from ..models.events import EventKind
from ..models.outcome import Reason, Refused
from ..models.work import Grant
from ..routing.placement import Reservation
from ..timeline.recorder import Recorder
from ..utils.clock import monotonic
from .attempts import GenerationHandle
from .registration import Registrar, Validity
from .running import (
    AttemptEndedError,
    AttemptPhase,
    LiveAttempt,
    Sink,
    taken_over_failure,
)

RESUME_TRIES = 2
PREFILL_TIMEOUT_BASE_S = 2.0
PREFILL_TIMEOUT_FACTOR = 4.0
CONFIRMATION_VALID_S = 1.0
TOO_LATE_RETRY_S = 1.0
PRIORITY_BY_URGENCY = {Urgency.INTERACTIVE: 0, Urgency.DEFERRABLE: 10}


class Generator:
    """Runs prefill and decode for attempts of this host."""

    def __init__(
        self,
        engines: Engines,
        registrar: Registrar,
        recorder: Recorder,
        metrics: Metrics,
    ) -> None:
        self._engines = engines
        self._registrar = registrar
        self._recorder = recorder
        self._metrics = metrics

    async def generate(
        self, attempt: LiveAttempt, reservation: Reservation, sink: Sink
    ) -> None:
        """Generate the missing part of an answer.

        After a failure in the middle of an answer, the text produced so far is
        appended to the prompt.

        Raises
        ------
        EngineError
        """
        grant = reservation.grant
        call = _engine_call(attempt, grant)
        attempt.reservation = reservation
        attempt.handles = (
            _generation_handle(grant.prefill, call),
            _generation_handle(grant.decode, call),
        )
        attempt.phase = AttemptPhase.PREFILLING
        prefilled = await self._prefill(attempt, reservation, call)
        await self._check_current(attempt)
        attempt.phase = AttemptPhase.DECODING
        self._record(attempt, EventKind.DECODE_STARTED, grant.decode)
        stream = self._engines.at(grant.decode.address).decode(call, prefilled)
        try:
            await self._relay(attempt, stream, sink)
        except StreamBrokenError:
            await self.resume(attempt, call.first_index, sink)

    async def resume(self, attempt: LiveAttempt, first_index: int, sink: Sink) -> None:
        """Continue reading the stream of a running generation.

        Parameters
        ----------
        first_index : int
            Index of the generation's first chunk within the whole answer.

        Raises
        ------
        EngineError
        """
        decode = attempt.handles[-1]
        engine = self._engines.at(decode.address)
        for tries_left in reversed(range(RESUME_TRIES)):
            if attempt.is_complete:
                return
            self._metrics.count("streams_resumed")
            stream = engine.resume(
                decode.engine_request_id, len(attempt.text) - 1, first_index
            )
            try:
                await self._relay(attempt, stream, sink)
                return
            except StreamBrokenError:
                if tries_left == 0 and not attempt.is_complete:
                    raise

    async def _prefill(
        self, attempt: LiveAttempt, reservation: Reservation, call: EngineCall
    ) -> PrefillResult:
        runner = reservation.grant.prefill
        await self._check_current(attempt)
        self._check_deadline(attempt)
        attempt.may_have_run = True
        self._record(attempt, EventKind.PREFILL_STARTED, runner)
        expected_s = len(call.prompt.split()) / runner.prefill_tokens_per_s
        prefilled = await self._engines.at(runner.address).prefill(
            call, PREFILL_TIMEOUT_BASE_S + PREFILL_TIMEOUT_FACTOR * expected_s
        )
        reservation.prefill_ended()
        attempt.prompt_tokens = attempt.prompt_tokens or prefilled.prompt_tokens
        self._recorder.record(
            EventKind.PREFILL_ENDED,
            attempt.request.request_id,
            runner=runner.name,
            cached_tokens=prefilled.cached_tokens,
        )
        return prefilled

    async def _check_current(self, attempt: LiveAttempt) -> None:
        """Confirm, just before calling an engine, that this attempt is current.

        A confirmation is valid for `CONFIRMATION_VALID_S` from the start of its
        call. If the process was paused during the call, the confirmation may
        already be too old, so it is repeated.

        Raises
        ------
        AttemptEndedError
            The attempt was replaced or no replica replied.
        """
        while monotonic() - attempt.confirmed_at > CONFIRMATION_VALID_S:
            requested_at = monotonic()
            confirmation = await self._registrar.confirm(
                attempt.request, attempt.registered_attempt, attempt.handles
            )
            validity = confirmation.validity
            attempt.may_have_run |= confirmation.ran
            if validity is Validity.REPLACED:
                raise AttemptEndedError(taken_over_failure())
            if validity is Validity.UNKNOWN:
                unreachable = self._registrar.home_unreachable(attempt.request)
                raise AttemptEndedError(attempt.as_reported(unreachable))
            attempt.confirmed_at = requested_at

    def _check_deadline(self, attempt: LiveAttempt) -> None:
        if attempt.is_continuation or not attempt.request.first_token_due.passed:
            return
        too_late = Refused(
            Reason.TOO_LATE, TOO_LATE_RETRY_S, "the first token's target has passed"
        )
        raise AttemptEndedError(attempt.as_reported(too_late))

    async def _relay(
        self, attempt: LiveAttempt, stream: AsyncIterator[Chunk], sink: Sink
    ) -> None:
        async with aclosing(cast(AsyncGenerator[Chunk, None], stream)) as chunks:
            async for chunk in chunks:
                if chunk.last:
                    return
                # Skip chunks that were received before the stream was resumed.
                if chunk.index != len(attempt.text):
                    continue
                if not attempt.text:
                    self._recorder.record(
                        EventKind.FIRST_TOKEN, attempt.request.request_id
                    )
                attempt.text.append(chunk.text)
                attempt.finish_reason = chunk.finish_reason
                await sink.send(chunk)

    def _record(self, attempt: LiveAttempt, kind: EventKind, runner: Runner) -> None:
        self._recorder.record(kind, attempt.request.request_id, runner=runner.name)


def _engine_call(attempt: LiveAttempt, grant: Grant) -> EngineCall:
    request = attempt.request
    produced = len(attempt.text)
    return EngineCall(
        engine_request_id=grant.reservation_id,
        model=request.model.name,
        prompt=request.prompt + "".join(attempt.text),
        max_tokens=request.max_tokens - produced,
        priority=PRIORITY_BY_URGENCY[request.model.urgency],
        sampling=request.sampling,
        first_index=produced,
    )


def _generation_handle(runner: Runner, call: EngineCall) -> GenerationHandle:
    return GenerationHandle(runner.name, runner.address, call.engine_request_id)
