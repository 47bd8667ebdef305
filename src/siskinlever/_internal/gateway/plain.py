"""Serves requests of plain services, with retries where they are allowed."""

from __future__ import annotations

import asyncio

from ..exceptions import (
    AnswerBrokenError,
    ConnectFailedError,
    KeyRefusedError,
    RunnerLeftError,
    RunnerPausedError,
)
from ..models.upstreams import Registration, RunnerKey
from ..network.http1_client import Exchange
from ..network.http1_server import CallerConnection
from ..platform import wire
from ..utils.clock import monotonic
from .context import GatewayContext
from .errors import UNSENT_REASONS, EndedError, EndReason, failed, limited, refused
from .job import Job
from .quota import charge_first_send
from .relay import PlainRelay, StreamRelay
from .runner_calls import run_exchange

# Retry-After in seconds when a runner rejected the request or was unreachable:
# other runners can serve the caller soon.
RETRY_AFTER_S = 0.1
# Retry-After in seconds when the service has no usable runner: a new runner takes
# seconds to register.
NO_RUNNER_RETRY_S = 1.0
# Failed connections after which a request is refused; each one can delay the
# caller by the connect timeout.
MAX_CONNECT_FAILURES = 3


class PlainRequest:
    """Serves one request of a plain service, including its retries.

    Parameters
    ----------
    context : GatewayContext
    connection : CallerConnection
    job : Job
    close : bool
        Whether to close the connection after the answer.
    """

    def __init__(
        self,
        context: GatewayContext,
        connection: CallerConnection,
        job: Job,
        close: bool,
    ) -> None:
        self._context = context
        self._connection = connection
        self._job = job
        self._close = close
        self._relay = PlainRelay(connection, close)
        self._tried: set[RunnerKey] = set()
        self._connect_failures = 0

    async def serve(self) -> str:
        """Answer the request; return the name of the runner that answered.

        The first answer with a server error (5xx) is kept; it is sent to the caller
        if no other runner answers.

        Raises
        ------
        EndedError
            Raised when no runner gave a usable answer, or when the answer was
            incomplete.
        CallerGoneError
            Raised when the caller closed its connection.
        """
        failure: EndedError | None = None
        while True:
            runner = self._choose_runner()
            if runner is None:
                break
            self._tried.add(runner.key)
            failure = await self._send_once(runner)
            if failure is None:
                return runner.key.name
            if not self._may_retry(failure):
                break
            self._context.log.write(
                "request.resent",
                self._job.id,
                runner=runner.key.name,
                reason=failure.reason.value,
                runners=len(self._job.sent_to),
            )
        answered_by = await self._relay.send_kept_error()
        if answered_by is not None:
            return answered_by
        raise failure or self._no_runner()

    def _choose_runner(self) -> Registration | None:
        context = self._context
        usable = context.runners.usable(self._job.service)
        sendable = [r for r in usable if context.limits.may_send(r.key)]
        runner = context.plain_placement.choose(sendable, self._tried)
        if runner is not None:
            context.limits.take(runner.key)
        return runner

    def _no_runner(self) -> EndedError:
        service = self._job.service
        usable = self._context.runners.usable(service)
        if usable:
            wait_s = self._context.limits.wait_s(runner.key for runner in usable)
            return limited(service, wait_s)
        return refused(
            EndReason.NO_RUNNER, f"no runner of {service}", NO_RUNNER_RETRY_S
        )

    async def _send_once(self, runner: Registration) -> EndedError | None:
        """Send the request to a runner; return the failure, or None."""
        placement, job = self._context.plain_placement, self._job
        self._context.keys.check(job)
        self._context.check_bars(job)
        await charge_first_send(self._context, job)
        options = wire.SendOptions(runner.key, job.time_left_s, identity=job.identity)
        call = wire.runner_call(job.request, options)
        try:
            with self._context.in_progress.request(runner.key), job.sending(runner.key):
                sent_at = monotonic()
                sending = run_exchange(
                    self._context, runner, call, job, reads_prompt=False
                )
                async with sending as answer:
                    took_s = monotonic() - sent_at
                    return await self._process_answer(runner, answer, took_s)
        except RunnerLeftError as error:
            return refused(EndReason.LEFT, error.message, RETRY_AFTER_S)
        except (RunnerPausedError, KeyRefusedError) as error:
            return refused(EndReason.REJECTED, error.message, RETRY_AFTER_S)
        except ConnectFailedError as error:
            self._connect_failures += 1
            self._context.unreachable_runners.mark_unreachable(runner.key)
            return refused(EndReason.UNREACHABLE, error.message, RETRY_AFTER_S)
        except asyncio.CancelledError:
            if job.time_left_s <= 0 and not job.outcome_unknown:
                # The answer began and had no end by the deadline.
                placement.note_broken_answer(runner.key)
            raise
        except AnswerBrokenError as error:
            job.ran = True
            placement.note_broken_answer(runner.key)
            return failed(EndReason.BROKEN, error.message)

    async def _process_answer(
        self, runner: Registration, answer: Exchange, took_s: float
    ) -> EndedError | None:
        head, placement = answer.head, self._context.plain_placement
        load = wire.parse_load(head)
        if load is not None:
            placement.note_load(runner.key, load)
        if wire.is_refusal_of(head, self._job.request):
            if wire.is_other_runner(head, runner.key.name):
                self._context.runners.mark_replaced(runner.key)
            else:
                placement.note_outcome(runner.key, failed=True)
            self._job.mark_not_run()
            message = f"{runner.key.name} answered {head.status}"
            return refused(EndReason.REJECTED, message, RETRY_AFTER_S)
        self._job.mark_started()
        if not wire.is_answer_to(head, self._job.request) or not wire.is_signed(head):
            placement.note_outcome(runner.key, failed=True)
            return failed(
                EndReason.FOREIGN, f"not this request's answer: {head.status}"
            )
        placement.note_outcome(runner.key, failed=head.status >= 500)
        if head.status < 400:
            # Errors are often answered without doing the work.
            placement.note_answer(runner, self._job.route.name, took_s, load)
        if wire.is_event_stream(head, self._job.route.kind):
            stream = StreamRelay(self._connection, only_complete_events=False)
            await stream.copy(answer, self._close)
            return None
        if await self._relay.copy(runner.key.name, answer):
            return None
        return failed(EndReason.FAILED_BY_RUNNER, f"status {head.status}")

    def _may_retry(self, failure: EndedError) -> bool:
        job, route = self._job, self._job.route
        if self._connection.answer_started or job.time_left_s <= 0:
            return False
        if failure.reason in UNSENT_REASONS:
            return self._connect_failures < MAX_CONNECT_FAILURES
        if job.may_have_run and not route.repeatable:
            return False
        if not job.has_attempts_left:
            return False
        return self._context.retry_budget.spend(job.service)
