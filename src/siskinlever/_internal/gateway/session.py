"""Serves the requests of one caller connection in sequence."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable

from ..exceptions import AnswerBrokenError, CallerGoneError, InvalidRequestError
from ..models.routes import Route
from ..network.answer_end import AnswerEnd
from ..network.http1_server import CallerConnection, ReceivedRequest
from ..platform import wire
from ..utils.clock import monotonic
from .context import GatewayContext
from .errors import EndedError, EndReason, failed, refused, timed_out
from .generation import GenerationRequest
from .job import Job, new_job
from .key_checks import KEY_REASONS
from .plain import PlainRequest
from .quota import quota_checked
from .shutdown import Shutdown

# Seconds past the deadline that an answer may take. Runners stop at the deadline
# themselves, and their answer still has to be forwarded.
DEADLINE_MARGIN_S = 0.08
# Retry-After in seconds while the current configuration is unknown: a host obtains
# it within one second after it reaches any other host.
CONFIGURATION_RETRY_S = 0.5
# Retry-After in seconds while this host is stopping: another host can serve the
# caller immediately.
STOPPING_RETRY_S = 0.05
# Statuses of errors which state that the request was not run.
NOT_RUN_STATUSES = frozenset({401, 429, 503})
KEY_OUTCOMES = frozenset(reason.value for reason in KEY_REASONS)


class Session:
    """Serves the requests of one connection.

    Parameters
    ----------
    context : GatewayContext
    shutdown : Shutdown
    connection : CallerConnection
    """

    def __init__(
        self, context: GatewayContext, shutdown: Shutdown, connection: CallerConnection
    ) -> None:
        self._context = context
        self._shutdown = shutdown
        self._connection = connection

    async def run(self) -> None:
        """Serve requests until the connection ends.

        Raises
        ------
        CallerGoneError
            Raised when the caller disconnects while a request is read or answered.
        """
        connection = self._connection
        with self._shutdown.connection(asyncio.current_task()) as idle:
            while True:
                try:
                    with idle():
                        request = await connection.next_request()
                except InvalidRequestError as error:
                    self._context.metrics.count("requests_invalid")
                    self._context.log.write(
                        "request.invalid", status=error.status, reason=error.message
                    )
                    await connection.reject_request(error)
                    return
                if request is None:
                    return
                with self._shutdown.request():
                    await self._serve(request)
                if not connection.is_reusable:
                    return

    async def _serve(self, request: ReceivedRequest) -> None:
        """Answer one request; cancel it when the caller disconnects."""
        started_at = monotonic()
        answer_task = asyncio.ensure_future(self._answer(request))
        disconnect_task = asyncio.ensure_future(self._connection.wait_disconnected())
        try:
            await asyncio.wait(
                {answer_task, disconnect_task}, return_when=asyncio.FIRST_COMPLETED
            )
            if not answer_task.done():
                self._context.metrics.count("requests", outcome="caller_gone")
                self._context.log.write(
                    "request.caller_gone",
                    wire.request_id(request),
                    after_s=round(monotonic() - started_at, 3),
                )
                raise CallerGoneError("the caller closed its connection")
            await answer_task
        finally:
            for task in (answer_task, disconnect_task):
                task.cancel()
            await asyncio.gather(answer_task, disconnect_task, return_exceptions=True)

    async def _answer(self, request: ReceivedRequest) -> None:
        job = None
        try:
            job = new_job(request, self._find_route(request))
            self._context.keys.check(job)
            self._context.retry_budget.note_request(job.service)
            self._context.check_bars(job)
            if self._refuses_while_stopping(job):
                raise refused(EndReason.STOPPING, "this host stops", STOPPING_RETRY_S)
            with quota_checked(self._context, job):
                runner = await self._within_deadline(job)
            self._log_end(job, request, 0, "answered", runner)
        except EndedError as failure:
            await self._answer_failure(job, request, failure)
        except AnswerBrokenError as error:
            self._log_end(job, request, 0, "broken", error.message)
            await self._connection.break_off()
        except CallerGoneError as error:
            self._log_end(job, request, 0, "caller_gone", error.message)
            raise
        except Exception as error:
            # A bug in this program must fail only this request, and must appear in
            # the log.
            self._context.metrics.count("faults")
            await self._answer_failure(
                job, request, failed(EndReason.INTERNAL, repr(error))
            )

    def _refuses_while_stopping(self, job: Job) -> bool:
        requested = wire.generation_size(job.request)
        if requested is None:
            return self._shutdown.refuses_plain(job.time_left_s)
        return self._shutdown.refuses_stream(requested.likely_output_tokens)

    def _find_route(self, request: ReceivedRequest) -> Route:
        configuration = self._context.configuration
        if configuration.current is None:
            raise refused(
                EndReason.NO_CONFIGURATION,
                "no configuration is known yet",
                CONFIGURATION_RETRY_S,
            )
        host = wire.host_name(request)
        route = configuration.current.route_for(host, request.path)
        if route is not None:
            return route
        if not configuration.is_current:
            raise refused(
                EndReason.CONFIGURATION_UNCERTAIN,
                f"no route in version {configuration.version}, "
                f"which was last confirmed {configuration.confirmed_age_s:.1f} s ago",
                CONFIGURATION_RETRY_S,
            )
        raise EndedError(
            404, EndReason.NO_ROUTE, f"no route in {configuration.version}"
        )

    async def _within_deadline(self, job: Job) -> str:
        try:
            async with asyncio.timeout_at(_loop_time(job.deadline) + DEADLINE_MARGIN_S):
                return await self._forward(job)
        except TimeoutError as error:
            if self._connection.answer_started:
                raise AnswerBrokenError(
                    "the answer was incomplete at the deadline", end=AnswerEnd.SILENT
                ) from error
            raise timed_out(job.may_have_run) from error

    def _forward(self, job: Job) -> Awaitable[str]:
        context, close = self._context, self._shutdown.is_stopping
        current = context.configuration.current
        service = current.service_by_name.get(job.service) if current else None
        requested = wire.generation_size(job.request)
        if service is None or service.engine is None or requested is None:
            return PlainRequest(context, self._connection, job, close).serve()
        return GenerationRequest(
            context, self._connection, job, requested, service.engine, close
        ).serve()

    async def _answer_failure(
        self, job: Job | None, request: ReceivedRequest, failure: EndedError
    ) -> None:
        if self._connection.answer_started:
            self._log_end(job, request, 0, "broken", failure.message)
            await self._connection.break_off()
            return
        # They would state that the request was not run, but an earlier send may have
        # run it.
        if failure.status in NOT_RUN_STATUSES and job is not None and job.may_have_run:
            failure = failed(failure.reason, failure.message)
        if job is not None and job.identity is not None:
            self._context.refusals.note(job.workspace, failure.reason)
        self._log_end(
            job, request, failure.status, failure.reason.value, failure.message
        )
        headers = wire.error_headers(request, failure.retry_after_s)
        if failure.status == 401:
            headers.append((b"WWW-Authenticate", b"Bearer"))
        await self._connection.answer(
            failure.status,
            headers,
            failure.message.encode(),
            close=self._shutdown.is_stopping,
        )

    def _log_end(
        self,
        job: Job | None,
        request: ReceivedRequest,
        status: int,
        outcome: str,
        detail: str,
    ) -> None:
        context = self._context
        context.metrics.count("requests", outcome=outcome)
        fields: dict[str, str | int | float] = {"outcome": outcome, "detail": detail}
        if status:
            fields["status"] = status
        if job is not None:
            elapsed_s = monotonic() - job.arrived_at
            context.metrics.observe(
                "request_latency", elapsed_s, kind=job.route.kind.value
            )
            fields |= {
                "route": job.route.name,
                "service": job.service,
                "taken_s": round(elapsed_s, 3),
                "sent_to": ",".join(sorted(key.name for key in job.sent_to)),
            }
            fields |= job.log_fields
        # Callers may send unknown keys at any rate. Their lines have a rate limit of
        # their own, so that those of other requests are written.
        is_of_key = outcome in KEY_OUTCOMES
        context.log.write(
            "request.key_refused" if is_of_key else "request.ended",
            wire.request_id(request),
            configuration=context.configuration.version,
            **fields,
        )


def _loop_time(monotonic_time: float) -> float:
    """Convert a time of the monotonic clock to the event loop's clock."""
    return asyncio.get_running_loop().time() + (monotonic_time - monotonic())
