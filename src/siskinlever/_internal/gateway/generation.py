"""Requests of model engines: reserve, prefill, decode, and go on if one fails."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from ..dispatch.waiting_line import Ticket
from ..exceptions import (
    AnswerBrokenError,
    ConnectFailedError,
    ExchangeError,
    InvalidRecordError,
)
from ..models.routes import EngineTraits, Route
from ..models.upstreams import Registration, RunnerKey, Stage
from ..network.http1_client import Exchange, exchange
from ..network.http1_server import CallerConnection
from ..platform import dialect
from ..utils.clock import monotonic
from . import engine_calls
from .context import GatewayContext, Job
from .endings import EndedError, Reason, failed, refused
from .relay import StreamRelay

# Share of the likely output that is reserved beside the prompt: runs that end
# make room for those that grow.
HELD_OUTPUT_SHARE = 0.5
# Time from room at a decode engine to the first event without a queue.
FIRST_EVENT_S = 0.35
# Share of the caller's time for which it is kept waiting for room; the rest
# is needed for the answer.
WAIT_SHARE = 0.4
POLL_S = 0.025
# Retry-After of a refusal for want of room: about the time of one run.
RETRY_AFTER_S = 2.0
# A prefill call that takes this many times as long as expected is given up.
PREFILL_PATIENCE = 4.0
MIN_PREFILL_TIMEOUT_S = 0.5
PREFILL_ANSWER_BYTES = 65_536
# Callers leave a stream that shows no event for the longest of these: seconds,
# multiples of the target latency, and of the longest pause between events.
CALLER_PATIENCE_S = 2.0
CALLER_PATIENCE_LATENCIES = 4.0
CALLER_PATIENCE_GAPS = 8.0
# The caller's clock started when it sent its request.
PATIENCE_MARGIN_S = 0.25


@dataclass(slots=True)
class Room:
    """Reserved room at a decode engine."""

    runner: Registration
    hold: str | None


class GenerationRequest:
    """One generation on its way through prefill and decode."""

    def __init__(
        self,
        context: GatewayContext,
        connection: CallerConnection,
        job: Job,
        asked: dialect.Generation,
        traits: EngineTraits,
        close: bool,
    ) -> None:
        self._context = context
        self._job = job
        self._asked = asked
        self._traits = traits
        self._close = close
        self._relay = StreamRelay(connection, job.route.resumable)
        self._placement = context.engines(job.service)
        self._failed_engines: set[RunnerKey] = set()
        self._age_s = context.caller_ages.age_s(job)

    async def serve(self) -> str:
        """Answer the request; return the name of the decode engine.

        Raises
        ------
        EndedError
            There is no engine's answer.
        AnswerBrokenError
            The answer broke off after the caller had its beginning.
        CallerGoneError
        """
        if self._needed_tokens() > self._traits.kv_capacity:
            raise refused(Reason.TOO_LARGE, "larger than an engine's memory", 5.0)
        with self._context.demand.generation(
            self._job.service, self._asked.prompt_tokens, self._needed_tokens()
        ):
            return await self._serve()

    async def _serve(self) -> str:
        while True:
            async with self._room() as room:
                ending = await self._run(room)
            if ending is None:
                return room.runner.key.name
            self._failed_engines.add(room.runner.key)
            if not self._may_go_on(ending):
                if self._relay.started:
                    raise AnswerBrokenError(ending.message)
                raise ending
            self._context.log.write(
                "request.resent",
                self._job.id,
                runner=room.runner.key.name,
                reason=ending.reason.value,
                after_event=self._relay.last_event,
                runners=len(self._job.sent_to),
            )

    def _on_time_until(self) -> float:
        """Return until when the generation must begin to be on time."""
        job = self._job
        first_came_at = job.arrived_at - self._age_s
        return first_came_at + job.route.target_latency_s - FIRST_EVENT_S

    def _note(self, step: str) -> None:
        self._job.steps[step] = round(monotonic() - self._job.arrived_at, 3)

    def _needed_tokens(self) -> int:
        return self._asked.prompt_tokens + self._asked.likely_output_tokens

    @asynccontextmanager
    async def _room(self) -> AsyncIterator[Room]:
        """Own room at a decode engine for the length of a block."""
        tokens = self._needed_tokens()
        room = await self._wait_for_room(tokens)
        try:
            with self._context.in_progress.decode(room.runner.key, tokens):
                yield room
        finally:
            if room.hold is not None:
                engine_calls.drop_hold(self._context, room.runner, room.hold)

    async def _wait_for_room(self, tokens: int) -> Room:
        job = self._job
        began = monotonic()
        line = self._context.line(job.service)
        on_time_until = self._on_time_until()
        give_up_at = min(
            began + WAIT_SHARE * max(0.0, job.time_left_s),
            job.arrived_at + _patience_s(job.route) - FIRST_EVENT_S - PATIENCE_MARGIN_S,
        )
        ticket = Ticket(job.route.priority, job.arrived_at, on_time_until)
        job.steps["waiting_before"] = len(line)
        with line.joined(ticket):
            while True:
                line.update()
                if ticket.turn.is_set():
                    is_late = monotonic() > on_time_until
                    room = await self._try_engines(tokens, is_late)
                    if room is not None:
                        self._note("room_s")
                        return room
                if monotonic() >= give_up_at:
                    raise refused(
                        Reason.OVERLOADED,
                        f"no room within {monotonic() - began:.3f} s, "
                        f"{len(line)} waiting",
                        RETRY_AFTER_S,
                    )
                await asyncio.sleep(POLL_S)

    async def _try_engines(self, tokens: int, is_late: bool) -> Room | None:
        job = self._job
        usable = self._context.runners.usable(job.service)
        if not usable:
            raise refused(Reason.NO_RUNNER, f"no engine of {job.service}", 1.0)
        usable = self._context.steady(usable)
        held = self._asked.prompt_tokens + int(
            HELD_OUTPUT_SHARE * self._asked.likely_output_tokens
        )
        for runner in self._placement.decode_candidates(
            usable, self._traits, tokens, is_late, self._failed_engines
        ):
            try:
                hold = await engine_calls.take_hold(
                    self._context, runner, held, self._traits.max_hold_s
                )
            except ExchangeError as error:
                self._context.reach.note_unreachable(runner.key)
                self._context.log.write(
                    "engine.unreachable",
                    self._job.id,
                    runner=runner.key.name,
                    reason=error.message,
                )
                continue
            if hold is not None:
                return Room(runner, hold)
            job.steps["holds_refused"] = int(job.steps.get("holds_refused", 0)) + 1
            self._placement.note_full(runner.key)
        return None

    async def _run(self, room: Room) -> EndedError | None:
        """Prefill and decode once; return why there is no answer, or None."""
        async with self._prefilled(room.runner) as source:
            ending = await self._decode(room, source)
        if (
            ending is not None
            and ending.reason is Reason.REJECTED
            and source is not None
            and self._context.budget.spend(self._job.service)
        ):
            # The prompt's KV cache was lost on the way; the engine reads it.
            ending = await self._decode(room, None)
        return ending

    @asynccontextmanager
    async def _prefilled(self, decode: Registration) -> AsyncIterator[str | None]:
        """Own the prompt's KV cache at a prefill engine, if one reads it.

        Yields
        ------
        source : str or None
            None if the decode engine is to read the prompt itself.
        """
        usable = self._context.runners.usable(self._job.service)
        slack_s = self._on_time_until() - monotonic()
        runner = self._placement.prefill_candidate(
            self._context.steady(usable), decode.zone, slack_s
        )
        handle = await self._prefill(runner) if runner is not None else None
        if runner is None or handle is None:
            yield None
            return
        self._note("prefilled_s")
        self._job.steps["prefill"] = runner.key.name
        taken = False
        try:
            yield dialect.kv_source(runner.address, handle)
            taken = self._relay.started
        finally:
            if not taken:
                engine_calls.free_handle(self._context, runner, handle)

    async def _prefill(self, runner: Registration) -> str | None:
        job, tokens = self._job, self._asked.prompt_tokens
        queued = self._context.load_at(runner.key).prefill_tokens
        expected_s = (queued + tokens) / self._placement.prefill_rate
        on_time_s = self._on_time_until() - monotonic()
        timeout_s = max(MIN_PREFILL_TIMEOUT_S, PREFILL_PATIENCE * expected_s, on_time_s)
        options = dialect.SendOptions(
            runner.key,
            min(timeout_s, job.time_left_s),
            stage=Stage.PREFILL,
            last_event=self._relay.last_event,
        )
        began = monotonic()
        try:
            with self._context.in_progress.prefill(runner.key, tokens):
                async with asyncio.timeout(timeout_s):
                    call = dialect.runner_call(job.request, options)
                    async with exchange(runner.address, call) as answer:
                        body = await answer.read(PREFILL_ANSWER_BYTES)
            if answer.head.status == 200:
                if queued == 0:
                    self._placement.note_prefill(tokens, monotonic() - began)
                return dialect.prefill_handle(body)
            reason = f"status {answer.head.status}"
        except (ExchangeError, InvalidRecordError) as error:
            reason = error.message
            self._context.reach.note_unreachable(runner.key)
        except TimeoutError:
            reason = f"not read within {timeout_s:.3f} s"
            self._context.reach.note_unreachable(runner.key)
        self._context.metrics.count("prefills_failed")
        self._context.log.write(
            "prefill.failed",
            job.id,
            runner=runner.key.name,
            queued_tokens=queued,
            reason=reason,
        )
        return None

    async def _decode(self, room: Room, source: str | None) -> EndedError | None:
        job, runner = self._job, room.runner
        options = dialect.SendOptions(
            runner.key,
            job.time_left_s,
            kv_source=source,
            hold=room.hold,
            last_event=self._relay.last_event,
        )
        call = dialect.runner_call(job.request, options)
        # A hold is used up by the request that names it.
        room.hold = None
        try:
            with job.sending(runner.key):
                async with exchange(runner.address, call) as answer:
                    return await self._take(runner, answer)
        except ConnectFailedError as error:
            self._context.reach.note_unreachable(runner.key)
            return refused(Reason.UNREACHABLE, error.message, RETRY_AFTER_S)
        except AnswerBrokenError as error:
            job.ran = True
            return failed(Reason.BROKEN, error.message)

    async def _take(self, runner: Registration, answer: Exchange) -> EndedError | None:
        head = answer.head
        if dialect.is_not_run(head):
            self._job.not_run()
            if dialect.is_other_runner(head, runner.key.name):
                self._context.runners.note_replaced(runner.key)
            self._placement.note_full(runner.key)
            message = f"{runner.key.name} answered {head.status}"
            return refused(Reason.REJECTED, message, RETRY_AFTER_S)
        self._job.has_run()
        self._note("first_event_s")
        if not dialect.answers(head, self._job.request) or not dialect.is_signed(head):
            return failed(Reason.FOREIGN, f"not this request's answer: {head.status}")
        if self._relay.started and head.status != 200:
            return failed(Reason.BROKEN, f"{runner.key.name} answered {head.status}")
        await self._relay.copy(answer, self._close)
        return None

    def _may_go_on(self, ending: EndedError) -> bool:
        job, route = self._job, self._job.route
        if job.time_left_s <= 0:
            return False
        if ending.reason is Reason.UNREACHABLE:
            return True
        if job.may_have_run and not route.repeatable:
            return False
        if not job.has_attempts_left:
            return False
        return self._context.budget.spend(job.service)


def _patience_s(route: Route) -> float:
    """Return how long a caller waits for the first event of a stream."""
    return max(
        CALLER_PATIENCE_S,
        CALLER_PATIENCE_LATENCIES * route.target_latency_s,
        CALLER_PATIENCE_GAPS * route.target_gap_s,
    )
