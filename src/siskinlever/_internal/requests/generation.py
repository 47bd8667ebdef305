"""Generates an answer on the runners of one placement."""

from __future__ import annotations

from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing
from typing import cast

from ..engines.base import Chunk, EngineCall, Prefilled
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
from .attempts import EngineHandle
from .registration import Registrar, Standing
from .running import AttemptEndedError, Running, Sink, Stage, taken_over

RESUME_TRIES = 2
PREFILL_MARGIN_S = 2.0
PREFILL_SLACK = 4.0
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
        self, running: Running, reservation: Reservation, sink: Sink
    ) -> None:
        """Generate what is missing of an answer; raises `EngineError`.

        After a failure in the middle of an answer the prompt is continued by
        what was produced.
        """
        grant = reservation.grant
        call = _call(running, grant)
        running.reservation = reservation
        running.handles = (_handle(grant.prefill, call), _handle(grant.decode, call))
        running.stage = Stage.PREFILLING
        prefilled = await self._prefill(running, reservation, call)
        await self._check_current(running)
        running.stage = Stage.DECODING
        self._record(running, EventKind.DECODE_STARTED, grant.decode)
        stream = self._engines.at(grant.decode.address).decode(call, prefilled)
        try:
            await self._relay(running, stream, sink)
        except StreamBrokenError:
            await self.resume(running, call.first_index, sink)

    async def resume(self, running: Running, first_index: int, sink: Sink) -> None:
        """Read on the running generation; raises `EngineError`.

        Parameters
        ----------
        first_index : int
            Index of the generation's first chunk in the whole answer.
        """
        decode = running.handles[-1]
        engine = self._engines.at(decode.address)
        for left in reversed(range(RESUME_TRIES)):
            if running.whole:
                return
            self._metrics.count("streams_resumed")
            stream = engine.resume(
                decode.engine_request_id, len(running.text) - 1, first_index
            )
            try:
                await self._relay(running, stream, sink)
                return
            except StreamBrokenError:
                if left == 0 and not running.whole:
                    raise

    async def _prefill(
        self, running: Running, reservation: Reservation, call: EngineCall
    ) -> Prefilled:
        runner = reservation.grant.prefill
        await self._check_current(running)
        self._check_due(running)
        running.started = True
        self._record(running, EventKind.PREFILL_STARTED, runner)
        expected_s = len(call.prompt.split()) / runner.prefill_tokens_per_s
        prefilled = await self._engines.at(runner.address).prefill(
            call, PREFILL_MARGIN_S + PREFILL_SLACK * expected_s
        )
        reservation.prefill_ended()
        running.prompt_tokens = running.prompt_tokens or prefilled.prompt_tokens
        self._recorder.record(
            EventKind.PREFILL_ENDED,
            running.request.request_id,
            runner=runner.name,
            cached_tokens=prefilled.cached_tokens,
        )
        return prefilled

    async def _check_current(self, running: Running) -> None:
        """Make sure just before acting that no other attempt replaced this one.

        A process that was paused does not know how long: it asks again.
        """
        while monotonic() - running.confirmed_at > CONFIRMATION_VALID_S:
            asked_at = monotonic()
            confirmation = await self._registrar.confirm(
                running.request, running.registered, running.handles
            )
            standing = confirmation.standing
            running.started |= confirmation.ran
            if standing is Standing.REPLACED:
                raise AttemptEndedError(taken_over())
            if standing is Standing.UNKNOWN:
                silent = self._registrar.home_silent(running.request)
                raise AttemptEndedError(running.refusal(silent))
            running.confirmed_at = asked_at

    def _check_due(self, running: Running) -> None:
        if running.continued or not running.request.first_token_due.passed:
            return
        late = Refused(
            Reason.TOO_LATE, TOO_LATE_RETRY_S, "the first token's target has passed"
        )
        raise AttemptEndedError(running.refusal(late))

    async def _relay(
        self, running: Running, stream: AsyncIterator[Chunk], sink: Sink
    ) -> None:
        async with aclosing(cast(AsyncGenerator[Chunk, None], stream)) as chunks:
            async for chunk in chunks:
                if chunk.last:
                    return
                if chunk.index != len(running.text):
                    continue
                if not running.text:
                    self._recorder.record(
                        EventKind.FIRST_TOKEN, running.request.request_id
                    )
                running.text.append(chunk.text)
                running.finish_reason = chunk.finish_reason
                await sink.send(chunk)

    def _record(self, running: Running, kind: EventKind, runner: Runner) -> None:
        self._recorder.record(kind, running.request.request_id, runner=runner.name)


def _call(running: Running, grant: Grant) -> EngineCall:
    request = running.request
    produced = len(running.text)
    return EngineCall(
        engine_request_id=grant.reservation_id,
        model=request.model.name,
        prompt=request.prompt + "".join(running.text),
        max_tokens=request.max_tokens - produced,
        priority=PRIORITY_BY_URGENCY[request.model.urgency],
        sampling=request.sampling,
        first_index=produced,
    )


def _handle(runner: Runner, call: EngineCall) -> EngineHandle:
    return EngineHandle(runner.name, runner.address, call.engine_request_id)
