"""Runs one model request: reserve, prefill, transfer, decode, hand over."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Protocol

from ..engines.base import Chunk, EngineCall
from ..engines.registry import Engines
from ..exceptions import EngineError, StreamBrokenError
from ..membership.members import MemberTable
from ..metrics.registry import Metrics
from ..models.declaration import Runner, Urgency
from ..models.events import EventKind
from ..models.ids import Attempt, ReservationId
from ..models.outcome import Answered, Ending, Failed, Outcome, Reason, Refused
from ..models.work import Grant, ModelRequest, PlacementRequest
from ..routing.placement import Placement, Reservation
from ..timeline.recorder import Recorder
from ..utils.clock import monotonic
from ..utils.digests import content_digest
from ..utils.prompts import estimated_tokens, prefix_hashes
from .aborts import AbortQueue
from .attempts import EngineHandle
from .registration import Registered, Registrar

PLACEMENT_TRIES = 2
RESUME_TRIES = 3
PREFILL_TIMEOUT_S = 30.0
PRIORITY_BY_URGENCY = {Urgency.INTERACTIVE: 0, Urgency.DEFERRABLE: 10}


class Sink(Protocol):
    """Where an answer goes."""

    async def send(self, chunk: Chunk) -> None:
        """Hand over a piece of the answer."""
        ...


@dataclass(slots=True)
class Running:
    """A request that this host is serving.

    Parameters
    ----------
    request : ModelRequest
    task : asyncio.Task
    attempt : int
    taken_over : bool
        Whether a later attempt has replaced this one.
    """

    request: ModelRequest
    task: asyncio.Task[object] | None
    attempt: Attempt
    taken_over: bool = False
    text: list[str] = field(default_factory=list)
    started: bool = False
    prompt_tokens: int = 0


class Executor:
    """Runs the model requests of this host."""

    def __init__(
        self,
        members: MemberTable,
        engines: Engines,
        placement: Placement,
        registrar: Registrar,
        aborts: AbortQueue,
        recorder: Recorder,
        metrics: Metrics,
    ) -> None:
        self._members = members
        self._engines = engines
        self._placement = placement
        self._registrar = registrar
        self._aborts = aborts
        self._recorder = recorder
        self._metrics = metrics
        self.running_by_key: dict[str, Running] = {}

    async def run(self, request: ModelRequest, sink: Sink) -> Ending:
        """Serve a request to its end; a cancelled task cancels the request."""
        began = monotonic()
        self._recorder.record(
            EventKind.REQUEST_ACCEPTED, request.request_id, model=request.model.name
        )
        registration = await self._registrar.register(request)
        if registration.is_error():
            return self._ended(request, registration.error, began)
        async with self._attempt(request, registration.ok) as running:
            ending = await self._serve(running, sink)
        return self._ended(request, ending, began)

    def stop(self, workspace: str, request_id: str, newer: Attempt) -> bool:
        """Stop an attempt that a newer one has replaced."""
        running = self.running_by_key.get(f"{workspace}/{request_id}")
        if running is None or running.attempt >= newer:
            return False
        running.taken_over = True
        if running.task is not None:
            running.task.cancel()
        return True

    @asynccontextmanager
    async def _attempt(
        self, request: ModelRequest, registered: Registered
    ) -> AsyncIterator[Running]:
        running = Running(request, asyncio.current_task(), registered.attempt)
        earlier = self.running_by_key.get(request.key)
        if earlier is not None:
            self.stop(request.workspace, request.request_id, registered.attempt)
        self.running_by_key[request.key] = running
        try:
            await self._registrar.stop_previous(request, registered)
            for handle in registered.previous_handles:
                self._aborts.add(handle.address, handle.engine_request_id)
            yield running
        finally:
            if self.running_by_key.get(request.key) is running:
                del self.running_by_key[request.key]
            if not running.taken_over:
                self._registrar.abandon(request, running.attempt)

    async def _serve(self, running: Running, sink: Sink) -> Ending:
        excluded: set[str] = set()
        for number in range(PLACEMENT_TRIES):
            placement = self._placement_request(running, number, frozenset(excluded))
            async with self._placement.place(placement) as placed:
                if placed.is_error():
                    return self._refusal(running, placed.error)
                reservation = placed.ok
                try:
                    return await self._run_placed(running, reservation, sink)
                except EngineError as error:
                    self._metrics.count("engine_failures")
                    running.started |= error.started
                    failed = error
                    excluded.add(reservation.grant.decode.name)
        return Failed(Reason.ENGINE_FAILED, f"the engines failed: {failed.message}")

    def _refusal(self, running: Running, refused: Refused) -> Ending:
        """A refusal after a try that ran is no longer a certain "not run"."""
        if not running.started:
            return refused
        return Failed(Reason.ENGINE_FAILED, refused.message, refused.retry_after_s)

    async def _run_placed(
        self, running: Running, reservation: Reservation, sink: Sink
    ) -> Ending:
        grant = reservation.grant
        call = self._call(running, grant)
        handles = (
            _handle(grant.prefill, call),
            _handle(grant.decode, call),
        )
        self._registrar.hold(running.request, running.attempt, handles)
        finished = False
        try:
            await self._generate(running, reservation, call, sink)
            finished = True
        finally:
            if not finished:
                for handle in handles:
                    self._aborts.add(handle.address, handle.engine_request_id)
        if not await self._registrar.complete(running.request, running.attempt):
            return Failed(Reason.TAKEN_OVER, "another attempt replaced this one")
        text = "".join(running.text)
        return Answered(text, running.prompt_tokens, len(running.text))

    async def _generate(
        self, running: Running, reservation: Reservation, call: EngineCall, sink: Sink
    ) -> None:
        grant = reservation.grant
        request_id = running.request.request_id
        self._recorder.record(
            EventKind.PREFILL_STARTED, request_id, runner=grant.prefill.name
        )
        engine = self._engines.at(grant.prefill.address)
        running.started = True
        prefilled = await engine.prefill(call, PREFILL_TIMEOUT_S)
        reservation.prefill_ended()
        running.prompt_tokens = prefilled.prompt_tokens
        self._recorder.record(
            EventKind.PREFILL_ENDED,
            request_id,
            runner=grant.prefill.name,
            cached_tokens=prefilled.cached_tokens,
        )
        self._recorder.record(
            EventKind.DECODE_STARTED, request_id, runner=grant.decode.name
        )
        stream = self._engines.at(grant.decode.address).decode(call, prefilled)
        try:
            await self._relay(running, stream, sink)
        except StreamBrokenError:
            await self._resume(running, grant, call, sink)

    async def _resume(
        self, running: Running, grant: Grant, call: EngineCall, sink: Sink
    ) -> None:
        engine = self._engines.at(grant.decode.address)
        for left in reversed(range(RESUME_TRIES)):
            self._metrics.count("streams_resumed")
            stream = engine.resume(call.engine_request_id, len(running.text) - 1)
            try:
                await self._relay(running, stream, sink)
                return
            except EngineError:
                if left == 0:
                    raise

    async def _relay(
        self, running: Running, stream: AsyncIterator[Chunk], sink: Sink
    ) -> None:
        async for chunk in stream:
            if chunk.last:
                return
            if chunk.index < len(running.text):
                continue
            if not running.text:
                self._recorder.record(EventKind.FIRST_TOKEN, running.request.request_id)
            running.text.append(chunk.text)
            await sink.send(chunk)

    def _call(self, running: Running, grant: Grant) -> EngineCall:
        request = running.request
        return EngineCall(
            engine_request_id=grant.reservation_id,
            model=request.model.name,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            priority=PRIORITY_BY_URGENCY[request.model.urgency],
            sampling=request.sampling,
        )

    def _placement_request(
        self, running: Running, number: int, excluded: frozenset[str]
    ) -> PlacementRequest:
        request = running.request
        own = self._members.own
        digest = content_digest(request.key.encode())[:16]
        reservation_id = f"{own.host}~{own.incarnation}~{digest}"
        return PlacementRequest(
            reservation_id=ReservationId(
                f"{reservation_id}~{running.attempt}~{number}"
            ),
            request_id=request.request_id,
            model=request.model,
            prompt_tokens=estimated_tokens(request.prompt),
            max_tokens=request.max_tokens,
            prefix_hashes=prefix_hashes(request.prompt),
            first_token_due=request.first_token_due,
            excluded_runners=excluded,
        )

    def _ended(self, request: ModelRequest, ending: Ending, began: float) -> Ending:
        outcome = ending.outcome
        self._metrics.count("requests", model=request.model.name, outcome=outcome.value)
        if outcome is Outcome.ANSWERED:
            self._metrics.observe("answer", monotonic() - began)
        self._recorder.record(
            EventKind.REQUEST_ENDED, request.request_id, outcome=outcome.value
        )
        return ending


def _handle(runner: Runner, call: EngineCall) -> EngineHandle:
    return EngineHandle(runner.name, runner.address, call.engine_request_id)
