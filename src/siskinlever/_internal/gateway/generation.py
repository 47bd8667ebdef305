"""Serves generations: reserves capacity, prefills, decodes, and retries on failure."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import ExitStack, asynccontextmanager

from ..dispatch.engine_versions import at_version
from ..dispatch.retry_accounting import RetryAccounting
from ..dispatch.runner_speed import Work
from ..exceptions import (
    AnswerBrokenError,
    ConnectFailedError,
    ExchangeError,
    InvalidRecordError,
    KeyRefusedError,
    RunnerLeftError,
    RunnerPausedError,
)
from ..fleet.stream_versions import stream_id
from ..models.routes import EngineSpec
from ..models.upstreams import Registration, RunnerKey, SoftwareVersion, Stage
from ..network.http1_client import Exchange
from ..network.http1_server import CallerConnection
from ..platform import engine_wire, wire
from ..utils.clock import monotonic
from . import engine_calls
from .capacity import CapacitySearch, ReservedCapacity
from .context import GatewayContext
from .errors import UNSENT_REASONS, EndedError, EndReason, failed, limited, refused
from .job import Job
from .quota import charge_first_send
from .relay import PlainRelay, StreamRelay
from .runner_calls import request_exchange, run_exchange

# Streams of fewer events, and those that waited for the caller for more than this share
# of their time, don't tell how fast the engine was.
MIN_TIMED_EVENTS = 10
MAX_WRITE_SHARE = 0.1
# Retry-After in seconds when an engine rejected the request, the connection failed,
# or no retry is left: other engines can serve the caller soon.
FAILED_RETRY_S = 0.5
# Retry-After in seconds for a request that exceeds the KV cache of the service's
# engines: only different engines could serve it.
TOO_LARGE_RETRY_S = 5.0
# A prefill call is cancelled when it takes this many times as long as expected,
# unless the first event can still be on time.
PREFILL_TIMEOUT_FACTOR = 4.0
MIN_PREFILL_TIMEOUT_S = 0.5
# A prefill answer carries only the handle of the KV cache.
MAX_PREFILL_ANSWER_BYTES = 65_536


class GenerationRequest:
    """Serves one generation, including its retries at other engines.

    Parameters
    ----------
    context : GatewayContext
    connection : CallerConnection
    job : Job
    requested : GenerationSize
        Token counts of the request.
    spec : EngineSpec
        Properties that all engines of the service share.
    close : bool
        Whether to close the connection after the answer.
    """

    def __init__(
        self,
        context: GatewayContext,
        connection: CallerConnection,
        job: Job,
        requested: wire.GenerationSize,
        spec: EngineSpec,
        close: bool,
    ) -> None:
        self._context = context
        self._job = job
        self._requested = requested
        self._spec = spec
        self._close = close
        self._connection = connection
        self._relay = StreamRelay(connection, job.route.resumable)
        self._plain_relay = PlainRelay(connection, close)
        self._placement = context.placement_for(job.service)
        # The version that began the stream; None before its first event.
        self._version: SoftwareVersion | None = None
        self._failed_engines: set[RunnerKey] = set()
        self._search = CapacitySearch(context, job, requested, spec)
        self._retries = RetryAccounting(lambda: context.retry_budget.spend(job.service))

    async def serve(self) -> str:
        """Answer the request; return the name of the decode engine.

        Raises
        ------
        EndedError
            Raised when no engine gave a usable answer, including when the request
            is too large for the engines or finds no capacity.
        AnswerBrokenError
            Raised when the answer failed after part of it was sent.
        CallerGoneError
            Raised when the caller closed its connection.
        """
        if self._search.needed_tokens > self._spec.kv_capacity:
            raise refused(
                EndReason.TOO_LARGE, "larger than an engine's memory", TOO_LARGE_RETRY_S
            )
        if wire.continues_stream(self._job.request):
            self._version = await self._find_version()
        with self._context.demand.generation(
            self._job.service, self._requested.prompt_tokens, self._search.needed_tokens
        ):
            return await self._serve()

    async def _find_version(self) -> SoftwareVersion:
        """Return the version that began the stream that the caller takes up.

        Raises
        ------
        EndedError
            Raised when neither a host nor the store knows it, and the service had
            several versions lately or that isn't known. Also without any engine: one
            that registers later may have another version.
        """
        context, job = self._context, self._job
        first_attempt = wire.first_attempt_id(job.request)
        version = None
        if first_attempt:
            job.log_fields["resumes"] = first_attempt
            version = await context.stream_versions.find(self._stream_id)
        if version is None:
            version = await context.stored_streams.find(job.service, self._stream_id)
            job.log_fields["stored_version"] = version or ""
        if version is None:
            message = "the software version that began the stream is not known"
            raise refused(EndReason.VERSION_UNKNOWN, message, FAILED_RETRY_S)
        return version

    @property
    def _stream_id(self) -> str:
        """What identifies the stream, also if this request resumes it."""
        job = self._job
        attempt = wire.first_attempt_id(job.request) or job.id
        return stream_id(attempt, job.workspace.name if job.workspace else None)

    async def _serve(self) -> str:
        while True:
            async with self._search.reserve(
                self._failed_engines, self._version
            ) as capacity:
                runner, failure = await self._attempt(capacity)
            if failure is None:
                return runner.key.name
            if failure.reason is not EndReason.LIMITED:
                self._failed_engines.add(runner.key)
            if self._relay.started:
                self._version = runner.version
            if not self._may_retry(failure):
                if self._relay.started:
                    raise AnswerBrokenError(failure.message)
                answered_by = await self._plain_relay.send_kept_error()
                if answered_by is not None:
                    return answered_by
                raise failure
            self._context.log.write(
                "request.resent",
                self._job.id,
                runner=runner.key.name,
                reason=failure.reason.value,
                after_event=self._relay.last_event,
                runners=len(self._job.sent_to),
            )

    async def _attempt(
        self, capacity: ReservedCapacity
    ) -> tuple[Registration, EndedError | None]:
        """Prefill and decode; return the decode engine and the failure, or None.

        The decode engine is another one than that of the reservation if that has left
        during the prefill.
        """
        await charge_first_send(self._context, self._job)
        runner = capacity.runner
        async with self._prompt_kv_cache(runner) as source:
            failure = await self._decode(capacity, source)
            if failure is None or source is None:
                return runner, failure
            if failure.reason is EndReason.LEFT:
                self._failed_engines.add(runner.key)
                return await self._decode_elsewhere(source, runner.version)
        if failure.reason is EndReason.REJECTED and self._context.limits.take(
            runner.key
        ):
            capacity.counted_at = monotonic()
            # The KV cache of the prompt may have been lost before the decode engine
            # fetched it, so the decode engine repeats the prefill itself.
            failure = await self._decode(capacity, None)
        return runner, failure

    async def _decode_elsewhere(
        self, source: str, version: SoftwareVersion
    ) -> tuple[Registration, EndedError | None]:
        """Decode from a prompt's KV cache at an engine that is yet to be chosen."""
        async with self._search.reserve(self._failed_engines, version) as capacity:
            return capacity.runner, await self._decode(capacity, source)

    @asynccontextmanager
    async def _prompt_kv_cache(self, decode: Registration) -> AsyncIterator[str | None]:
        """Prefill at a prefill engine and keep the prompt's KV cache for the block.

        The cache is freed on exit unless the decode engine has consumed it.

        Yields
        ------
        source : str or None
            Location of the KV cache; None if the decode engine must prefill.
        """
        limits = self._context.limits
        usable = [
            runner
            for runner in at_version(
                self._context.runners.usable(self._job.service), decode.version
            )
            if limits.may_send(runner.key)
        ]
        slack_s = self._search.on_time_until - monotonic()
        runner = None
        # A prefill is exempt from the retry budget only while no send has arrived at
        # an engine; a later one would be charged as a retry, so there is none.
        if self._retries.is_prefill_exempt:
            runner = self._placement.prefill_candidate(
                self._context.not_switching(usable),
                decode.zone,
                slack_s,
                allows_direct=self._placement.allows_direct_prefill(
                    decode,
                    self._requested.prompt_tokens,
                    self._job.route.target_gap_s,
                ),
            )
        if runner is not None:
            limits.take(runner.key)
        handle = await self._prefill(runner) if runner is not None else None
        if runner is None or handle is None:
            yield None
            return
        self._job.note_time("prefilled_s")
        self._job.log_fields["prefill"] = runner.key.name
        is_consumed = False
        try:
            yield engine_wire.kv_source(runner.address, handle)
            is_consumed = self._relay.started
        finally:
            if not is_consumed:
                engine_calls.free_handle(self._context, runner, handle)

    async def _prefill(self, runner: Registration) -> str | None:
        """Prefill at an engine; return the KV cache's handle, or None on failure."""
        self._context.keys.check(self._job)
        self._context.check_bars(self._job)
        job, tokens = self._job, self._requested.prompt_tokens
        queued = self._context.load_of(runner.key).prefill_tokens
        timeout_s = self._prefill_timeout_s(runner.key, queued)
        options = wire.SendOptions(
            runner.key,
            min(timeout_s, job.time_left_s),
            stage=Stage.PREFILL,
            last_event=self._relay.last_event,
            identity=job.identity,
        )
        started_at = monotonic()
        has_arrived = True
        try:
            with self._context.in_progress.prefill(runner.key, tokens):
                async with asyncio.timeout(timeout_s):
                    call = wire.runner_call(job.request, options)
                    sending = request_exchange(self._context, runner, call, job)
                    async with sending as answer:
                        body = await answer.read(MAX_PREFILL_ANSWER_BYTES)
            if wire.is_answer_to_other(answer.head, job.request):
                raise AnswerBrokenError("not this request's prefill")
            if answer.head.status == 200:
                self._retries.note_prefilled()
                if queued == 0:
                    took_s = monotonic() - started_at
                    self._placement.update_prefill_rate(tokens, took_s)
                    work = Work(f"{job.service}:prefill", "prefill")
                    self._context.runner_speeds.note_answer(
                        runner.key, work, took_s / max(1, tokens), 0.0
                    )
                return engine_wire.prefill_handle(body)
            self._placement.failures.note(runner.key)
            reason = f"status {answer.head.status}"
        except (RunnerLeftError, RunnerPausedError, KeyRefusedError) as error:
            has_arrived = False
            reason = error.message
        except ConnectFailedError as error:
            has_arrived = False
            reason = error.message
            self._context.unreachable_runners.mark_unreachable(runner.key)
        except (ExchangeError, InvalidRecordError) as error:
            reason = error.message
            self._context.unreachable_runners.mark_unreachable(runner.key)
        except TimeoutError:
            reason = f"prefill took longer than {timeout_s:.3f} s"
            self._context.unreachable_runners.mark_unreachable(runner.key)
        if has_arrived:
            self._retries.note_arrival()
        self._context.metrics.count("prefills_failed")
        self._context.log.write(
            "prefill.failed",
            job.id,
            runner=runner.key.name,
            queued_tokens=queued,
            reason=reason,
        )
        return None

    def _prefill_timeout_s(self, runner: RunnerKey, queued_tokens: int) -> float:
        """Return the timeout of a prefill call in seconds.

        It is at least the time left in which the first event can still be on time.
        """
        tokens = queued_tokens + self._requested.prompt_tokens
        slowdown = self._context.runner_speeds.usual_slowdown(runner)
        expected_s = max(1.0, slowdown) * tokens / self._placement.prefill_rate
        on_time_s = self._search.on_time_until - monotonic()
        return max(
            MIN_PREFILL_TIMEOUT_S, PREFILL_TIMEOUT_FACTOR * expected_s, on_time_s
        )

    async def _decode(
        self, capacity: ReservedCapacity, source: str | None
    ) -> EndedError | None:
        job, runner = self._job, capacity.runner
        job.log_fields["version"] = runner.version
        self._context.keys.check(job)
        self._context.check_bars(job)
        if self._context.limits.are_paused([runner.key]):
            # Checked here so that no retry is charged for what isn't sent.
            message = f"{runner.key.name} has asked for a pause since its prefill"
            return refused(EndReason.REJECTED, message, FAILED_RETRY_S)
        if not self._context.limits.take_late(runner.key, capacity.counted_at):
            return limited(job.service, self._context.limits.wait_s([runner.key]))
        if not self._retries.charge_next():
            message = "the retry budget is spent"
            return refused(EndReason.NO_RETRY_LEFT, message, FAILED_RETRY_S)
        options = wire.SendOptions(
            runner.key,
            job.time_left_s,
            kv_source=source,
            hold=capacity.hold,
            last_event=self._relay.last_event,
            identity=job.identity,
        )
        call = wire.runner_call(job.request, options)
        # The request that names a reservation consumes it.
        capacity.hold = None
        try:
            with ExitStack() as prefilling, job.sending(runner.key):
                if source is None:
                    tokens = self._requested.prompt_tokens
                    prefill = self._context.in_progress.prefill(runner.key, tokens)
                    prefilling.enter_context(prefill)
                sending = run_exchange(
                    self._context, runner, call, job, reads_prompt=True
                )
                async with sending as answer:
                    # The engine answers when it has prefilled the prompt.
                    prefilling.close()
                    return await self._process_answer(runner, answer)
        except RunnerLeftError as error:
            # It is released with the block that holds it.
            capacity.hold = options.hold
            return refused(EndReason.LEFT, error.message, FAILED_RETRY_S)
        except (RunnerPausedError, KeyRefusedError) as error:
            return refused(EndReason.REJECTED, error.message, FAILED_RETRY_S)
        except ConnectFailedError as error:
            self._context.unreachable_runners.mark_unreachable(runner.key)
            return refused(EndReason.UNREACHABLE, error.message, FAILED_RETRY_S)
        except AnswerBrokenError as error:
            self._retries.note_arrival()
            self._placement.failures.note(runner.key)
            job.ran = True
            return failed(EndReason.BROKEN, error.message)

    async def _process_answer(
        self, runner: Registration, answer: Exchange
    ) -> EndedError | None:
        head = answer.head
        self._retries.note_arrival()
        if wire.is_refusal_of(head, self._job.request):
            self._job.mark_not_run()
            if wire.is_other_runner(head, runner.key.name):
                self._context.runners.mark_replaced(runner.key)
            self._placement.note_refused(runner.key, self._search.needed_tokens)
            self._placement.failures.note(runner.key)
            message = f"{runner.key.name} answered {head.status}"
            return refused(EndReason.REJECTED, message, FAILED_RETRY_S)
        self._job.mark_started()
        self._job.note_time("first_event_s")
        if head.status >= 500:
            self._placement.failures.note(runner.key)
        if not wire.is_answer_to(head, self._job.request) or not wire.is_signed(head):
            return failed(
                EndReason.FOREIGN, f"not this request's answer: {head.status}"
            )
        if self._relay.started and not self._relay.is_continued_by(head):
            message = f"{runner.key.name} answered {head.status} in place of the stream"
            return failed(EndReason.BROKEN, message)
        if not wire.is_event_stream(head, self._job.route.kind):
            if await self._plain_relay.copy(runner.key.name, answer):
                return None
            return failed(EndReason.FAILED_BY_RUNNER, f"status {head.status}")
        await self._forward_stream(runner, answer)
        return None

    async def _forward_stream(self, runner: Registration, answer: Exchange) -> None:
        stored = self._context.stored_streams
        if self._job.route.resumable:
            # A retry at another version could begin the stream before this record of it
            # is replaced everywhere.
            self._version = runner.version
            stored.note(self._stream_id, runner.version)
            await self._context.stream_versions.record(self._stream_id, runner.version)
        began_at, written_s = monotonic(), self._relay.write_s
        load = self._context.load_of(runner.key).requests / max(1, runner.slots)
        try:
            await self._relay.copy(answer, self._close)
            stored.remove(self._stream_id)
            took_s = monotonic() - began_at
            if (
                answer.events >= MIN_TIMED_EVENTS
                and self._relay.write_s - written_s <= MAX_WRITE_SHARE * took_s
            ):
                work = Work(f"{self._job.service}:decode", "decode")
                self._context.runner_speeds.note_answer(
                    runner.key, work, took_s / answer.events, load
                )
        finally:
            self._job.log_fields |= {
                "framing": answer.framing.value,
                "events": self._relay.events_sent,
                "inside_event": self._relay.is_inside_event,
            }
        self._placement.note_output(
            self._requested.likely_output_tokens, self._relay.events_sent
        )

    def _may_retry(self, failure: EndedError) -> bool:
        job, route = self._job, self._job.route
        if job.time_left_s <= 0:
            return False
        if self._connection.answer_started and not self._relay.started:
            # Part of an answer that is no stream was sent.
            return False
        if failure.reason in UNSENT_REASONS:
            return True
        if job.may_have_run and not route.repeatable:
            return False
        if not job.has_attempts_left:
            return False
        return self._retries.charge_next()
