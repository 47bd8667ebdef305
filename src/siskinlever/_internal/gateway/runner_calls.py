"""The only way of this host's calls to runners.

Each call obeys the pauses that runners want. Of each answer, whatever the call is for,
what the runner states about itself is noted, and whether it is whole is counted.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from ..exceptions import AnswerBrokenError, RunnerPausedError
from ..models.upstreams import Registration
from ..network.answer_end import AnswerEnd, Verdict
from ..network.http1_client import AnswerHead, Call, Exchange, exchange
from ..platform import wire
from ..utils.clock import monotonic
from .context import GatewayContext
from .crash_detection import RunUnderWay
from .job import Job

# Answers to calls of this host's own carry a few fields.
MAX_ANSWER_BYTES = 1_048_576


@asynccontextmanager
async def run_exchange(
    context: GatewayContext, runner: Registration, call: Call, job: Job
) -> AsyncIterator[Exchange]:
    """Send a caller's request to a runner that is to run it, as `request_exchange`.

    How it ends is evidence on what crashes runners.
    """
    run = RunUnderWay(job)
    try:
        async with request_exchange(context, runner, call, job) as answer:
            run.note_head(answer)
            yield answer
    except AnswerBrokenError as error:
        context.crash_detection.note_broken(runner, run, error.end)
        raise
    context.crash_detection.note_end(run)


@asynccontextmanager
async def request_exchange(
    context: GatewayContext, runner: Registration, call: Call, job: Job
) -> AsyncIterator[Exchange]:
    """Send a caller's request to a runner, as `http1_client.exchange`.

    Raises
    ------
    RunnerPausedError
        Raised when the runner wants no requests now; nothing was sent.
    ConnectFailedError, AnswerBrokenError
    """
    sent_at = monotonic()
    async with _judged_exchange(context, runner, call, job) as answer:
        if not wire.is_answer_to_other(answer.head, job.request):
            context.note_statements(runner.key, answer.head, sent_at)
        yield answer


async def fetch_from_runner(
    context: GatewayContext, runner: Registration, call: Call, timeout_s: float
) -> tuple[AnswerHead, bytes]:
    """Make a call of this host's own to a runner; return the whole answer.

    The absence of a limit in the answer doesn't end an earlier one, since limits are
    stated in answers to requests.

    Parameters
    ----------
    context : GatewayContext
    runner : Registration
    call : Call
    timeout_s : float
        Seconds until the whole answer must have arrived.

    Raises
    ------
    RunnerPausedError
        Raised when the runner wants no requests now; nothing was sent.
    ConnectFailedError, AnswerBrokenError
    """
    try:
        async with asyncio.timeout(timeout_s):
            async with _judged_exchange(context, runner, call) as answer:
                context.note_statements(runner.key, answer.head)
                return answer.head, await answer.read(MAX_ANSWER_BYTES)
    except TimeoutError as error:
        message = f"no answer within {timeout_s:g} s"
        raise AnswerBrokenError(message, end=AnswerEnd.SILENT) from error


@asynccontextmanager
async def _judged_exchange(
    context: GatewayContext, runner: Registration, call: Call, job: Job | None = None
) -> AsyncIterator[Exchange]:
    _check_pause(context, runner)
    fields: dict[str, str | int | float] = {}
    try:
        async with exchange(runner.address, call) as answer:
            began_at = monotonic()
            try:
                yield answer
            finally:
                fields["after_head_s"] = round(monotonic() - began_at, 3)
                fields["body_bytes"] = answer.body_bytes
            if answer.end is not None:
                _count(context, Verdict.WHOLE, answer.end)
    except AnswerBrokenError as error:
        _count(context, error.verdict, error.end)
        if job is not None:
            fields["traits"] = ",".join(job.traits)
        context.log.write(
            "answer.broken",
            job.id if job else "",
            runner=runner.key.name,
            verdict=error.verdict.value,
            end=error.end.value if error.end else None,
            reason=error.message,
            **fields,
        )
        raise


def _count(context: GatewayContext, verdict: Verdict, end: AnswerEnd | None) -> None:
    context.metrics.count(
        "answers", verdict=verdict.value, end=end.value if end else "unknown"
    )


def _check_pause(context: GatewayContext, runner: Registration) -> None:
    if context.limits.are_paused([runner.key]):
        raise RunnerPausedError(f"{runner.key.name} wants no requests for now")
