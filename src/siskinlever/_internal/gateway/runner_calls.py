"""The only way of this host's calls to runners.

Each call obeys the pauses that runners want. Of each answer, whatever the call is for,
what the runner states about itself is noted, and whether it is whole is counted.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

from ..exceptions import (
    AnswerBrokenError,
    NotSentError,
    PeerError,
    RunnerLeftError,
    RunnerPausedError,
)
from ..fleet.messages import to_runner
from ..models.upstreams import Registration, RunnerKey
from ..network.answer_end import AnswerEnd, Verdict
from ..network.http1_client import AnswerHead, Call, Exchange, exchange
from ..peers import peer_pb2
from ..platform import wire
from ..utils.clock import MS_PER_S, monotonic
from .context import GatewayContext
from .crash_detection import RunUnderWay
from .job import Job
from .runner_connections import RunnerConnection, open_connection, open_direct

# Answers to calls of this host's own carry a few fields.
MAX_ANSWER_BYTES = 1_048_576


@asynccontextmanager
async def run_exchange(
    context: GatewayContext,
    runner: Registration,
    call: Call,
    job: Job,
    reads_prompt: bool,
) -> AsyncIterator[Exchange]:
    """Send a caller's request to a runner that is to run it, as `request_exchange`.

    How it ends is evidence on what crashes runners, depending on whether the runner
    reads a prompt before it answers.
    """
    run = RunUnderWay(job, reads_prompt)
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
    RunnerLeftError
        Raised when the runner may no longer get requests; nothing was sent.
    RunnerPausedError
        Raised when the runner wants no requests now; nothing was sent.
    KeyRefusedError
        Raised when the caller's key may no longer be used; nothing was sent.
    ConnectFailedError, AnswerBrokenError
    """
    check_before_send(context, runner, job)
    began_at = monotonic()
    opened = await open_connection(context, runner, job.time_left_s)
    if opened.helper is not None:
        job.log_fields["relayed_by"] = opened.helper.host
    sent_at = monotonic()
    call = wire.with_less_time(call, sent_at - began_at)
    async with _judged_exchange(context, runner, call, opened, job) as answer:
        if not wire.is_answer_to_other(answer.head, job.request):
            _note_statements(context, runner.key, opened, answer.head, sent_at)
        yield answer


async def fetch_from_runner(
    context: GatewayContext,
    runner: Registration,
    call: Call,
    timeout_s: float,
    may_relay: bool = True,
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
    may_relay : bool, default=True
        Whether another host may send it.

    Raises
    ------
    RunnerPausedError
        Raised when the runner wants no requests now; nothing was sent.
    ConnectFailedError, AnswerBrokenError
    """
    _check_pause(context, runner)
    try:
        async with asyncio.timeout(timeout_s):
            if may_relay:
                opened = await open_connection(context, runner, timeout_s)
            else:
                opened = await open_direct(context, runner)
            async with _judged_exchange(context, runner, call, opened) as answer:
                _note_statements(context, runner.key, opened, answer.head)
                return answer.head, await answer.read(MAX_ANSWER_BYTES)
    except TimeoutError as error:
        message = f"no answer within {timeout_s:g} s"
        raise AnswerBrokenError(message, end=AnswerEnd.SILENT) from error


@asynccontextmanager
async def _judged_exchange(
    context: GatewayContext,
    runner: Registration,
    call: Call,
    opened: RunnerConnection,
    job: Job | None = None,
) -> AsyncIterator[Exchange]:
    fields: dict[str, str | int | float] = {}
    try:
        if job is None:
            _check_pause(context, runner)
        else:
            # Much may have changed while the connection was opened.
            check_before_send(context, runner, job)
    except NotSentError:
        opened.connection.close()
        raise
    try:
        async with exchange(opened.connection, call) as answer:
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


def _note_statements(
    context: GatewayContext,
    runner: RunnerKey,
    opened: RunnerConnection,
    head: AnswerHead,
    sent_at: float | None = None,
) -> None:
    """Record what a runner states, and tell the host of which it wants a pause."""
    statement = context.note_statements(runner, head, sent_at)
    if opened.helper is None or statement is None or statement.pause_s is None:
        return
    message = peer_pb2.RunnerPause(
        runner=to_runner(runner), pause_ms=int(statement.pause_s * MS_PER_S)
    )
    telling = _tell_pause(context, opened.helper.peers_address, message)
    context.tasks.start(telling, "tell-pause")


async def _tell_pause(
    context: GatewayContext, address: str, message: peer_pb2.RunnerPause
) -> None:
    # The link counts a failure. The other host then hears of the pause from the runner.
    with suppress(PeerError):
        await context.peers.call_address(address, "NotePause", message)


def _count(context: GatewayContext, verdict: Verdict, end: AnswerEnd | None) -> None:
    context.metrics.count(
        "answers", verdict=verdict.value, end=end.value if end else "unknown"
    )


def check_before_send(context: GatewayContext, runner: Registration, job: Job) -> None:
    """Check all that a choice relied on and that may have changed since.

    Called right before each send of a caller's request: between the choice of a runner
    and the send lie waits for capacity, quotas, a prefill and a connection.

    Raises
    ------
    RunnerLeftError
        Raised when the runner leaves, has left or changed its stage.
    RunnerPausedError
        Raised when the runner wants no requests now.
    KeyRefusedError
        Raised when the caller's key may no longer be used.
    """
    known = context.runners.by_key.get(runner.key)
    if known is None or not context.runners.is_usable(runner.key):
        raise RunnerLeftError(f"{runner.key.name} leaves or has left")
    if known.registration.stage is not runner.stage:
        raise RunnerLeftError(f"{runner.key.name} has changed its stage")
    _check_pause(context, runner)
    context.keys.check_before_send(job)


def _check_pause(context: GatewayContext, runner: Registration) -> None:
    if context.limits.are_paused([runner.key]):
        raise RunnerPausedError(f"{runner.key.name} wants no requests for now")
