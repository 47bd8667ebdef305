"""Finds room for a generation at a decode engine, and waits for it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Collection
from contextlib import asynccontextmanager
from dataclasses import dataclass

from ..dispatch.wait_queue import Waiter
from ..exceptions import ExchangeError
from ..models.routes import EngineSpec, Route
from ..models.upstreams import Registration, RunnerKey
from ..platform import wire
from ..utils.clock import monotonic
from . import engine_calls
from .context import GatewayContext
from .errors import EndedError, Reason, refused
from .job import Job

# Share of the likely output that is reserved beside the prompt: runs that end
# make room for those that grow.
RESERVED_OUTPUT_SHARE = 0.5
# Time from room at a decode engine to the first event without a queue.
FIRST_EVENT_S = 0.35
# Share of the caller's time for which it is kept waiting for room; the rest
# is needed for the answer.
WAIT_SHARE = 0.4
# An engine that was full is asked again after 0.08 s.
POLL_S = 0.025
# Retry-After of a refusal for want of room: about the time of one run.
OVERLOADED_RETRY_S = 2.0
NO_ENGINE_RETRY_S = 1.0
# Callers leave a stream that shows no event for the longest of these: seconds,
# multiples of the target latency, and of the longest pause between events.
MIN_CALLER_TIMEOUT_S = 2.0
CALLER_TIMEOUT_LATENCIES = 4.0
CALLER_TIMEOUT_GAPS = 8.0
# The caller's clock started when it sent its request.
CALLER_TIMEOUT_MARGIN_S = 0.25


@dataclass(slots=True)
class ReservedCapacity:
    """Reserved room at a decode engine.

    Parameters
    ----------
    runner : Registration
    hold : str or None
        None once a request has used it.
    """

    runner: Registration
    hold: str | None


class CapacitySearch:
    """Finds room for one generation, at its first engine and at later ones."""

    def __init__(
        self,
        context: GatewayContext,
        job: Job,
        requested: wire.GenerationSize,
        spec: EngineSpec,
    ) -> None:
        self._context = context
        self._job = job
        self._requested = requested
        self._spec = spec
        self._placement = context.placement_for(job.service)
        route = job.route
        prior_wait_s = context.caller_waits.prior_wait_s(
            route.name, route.timeout_s, job.caller_timeout_s
        )
        # The generation must begin by then for its first event to be on time.
        self.on_time_until = (
            job.arrived_at - prior_wait_s + route.target_latency_s - FIRST_EVENT_S
        )

    @property
    def needed_tokens(self) -> int:
        """KV cache that the generation takes in the end, as far as known."""
        return self._requested.prompt_tokens + self._requested.likely_output_tokens

    @asynccontextmanager
    async def capacity(
        self, excluded: Collection[RunnerKey]
    ) -> AsyncIterator[ReservedCapacity]:
        """Own room at an engine for the length of a block.

        Raises
        ------
        EndedError
            There is no room, or not before the caller leaves.
        """
        capacity = await self._wait(excluded)
        runner = capacity.runner.key
        try:
            with self._context.in_progress.decode(runner, self.needed_tokens):
                yield capacity
        finally:
            if capacity.hold is not None:
                engine_calls.release_hold(self._context, capacity.runner, capacity.hold)

    async def _wait(self, excluded: Collection[RunnerKey]) -> ReservedCapacity:
        job = self._job
        started_at = monotonic()
        queue = self._context.queue(job.service)
        caller_timeout_at = (
            job.arrived_at + _first_event_timeout_s(job.route) - CALLER_TIMEOUT_MARGIN_S
        )
        give_up_at = min(
            started_at + WAIT_SHARE * max(0.0, job.time_left_s),
            caller_timeout_at - FIRST_EVENT_S,
        )
        waiter = Waiter(job.route.priority, job.arrived_at, self.on_time_until)
        job.log_fields["waiting_before"] = len(queue)
        with queue.enqueued(waiter):
            while True:
                queue.reorder()
                if waiter.at_head.is_set():
                    capacity = await self._try_engines(excluded)
                    if capacity is not None:
                        job.note_time("room_s")
                        return capacity
                if monotonic() >= give_up_at:
                    raise self._overloaded(monotonic() - started_at, len(queue))
                await asyncio.sleep(POLL_S)

    @staticmethod
    def _overloaded(waited_s: float, waiting: int) -> EndedError:
        message = f"no room within {waited_s:.3f} s, {waiting} waiting"
        return refused(Reason.OVERLOADED, message, OVERLOADED_RETRY_S)

    async def _try_engines(
        self, excluded: Collection[RunnerKey]
    ) -> ReservedCapacity | None:
        context, job = self._context, self._job
        usable = context.runners.usable(job.service)
        if not usable:
            message = f"no engine of {job.service}"
            raise refused(Reason.NO_RUNNER, message, NO_ENGINE_RETRY_S)
        is_late = monotonic() > self.on_time_until
        for runner in self._placement.decode_candidates(
            context.not_switching(usable),
            self._spec,
            self.needed_tokens,
            is_late,
            excluded,
        ):
            hold = await self._acquire_hold(runner)
            if hold is not None:
                return ReservedCapacity(runner, hold)
        return None

    async def _acquire_hold(self, runner: Registration) -> str | None:
        """Reserve room at an engine; None if it has none or was not reached."""
        context, job = self._context, self._job
        tokens = self._requested.prompt_tokens + int(
            RESERVED_OUTPUT_SHARE * self._requested.likely_output_tokens
        )
        try:
            hold = await engine_calls.acquire_hold(
                context, runner, tokens, self._spec.max_hold_s
            )
        except ExchangeError as error:
            context.unreachable_runners.mark_unreachable(runner.key)
            context.log.write(
                "engine.unreachable",
                job.id,
                runner=runner.key.name,
                reason=error.message,
            )
            return None
        if hold is None:
            job.log_fields["holds_refused"] = (
                int(job.log_fields.get("holds_refused", 0)) + 1
            )
            self._placement.note_full(runner.key)
        return hold


def _first_event_timeout_s(route: Route) -> float:
    """Return how long a caller waits for the first event of a stream."""
    return max(
        MIN_CALLER_TIMEOUT_S,
        CALLER_TIMEOUT_LATENCIES * route.target_latency_s,
        CALLER_TIMEOUT_GAPS * route.target_gap_s,
    )
