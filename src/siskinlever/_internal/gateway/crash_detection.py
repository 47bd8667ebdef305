"""Finds out whether a runner has crashed under requests whose answers broke off.

The end of a connection may come from a crash, a cut link or a fault of one answer. Only
a process that is gone refuses connections, or is soon followed by another one at its
address.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Awaitable, Callable

from ..dispatch.crash_evidence import SURVIVED_S, CrashedRun, crash_weight
from ..fleet.crash_reports import CrashReports
from ..fleet.runners import RunnerDirectory
from ..fleet.unreachable_runners import UnreachableRunners
from ..models.upstreams import Registration, RunnerKey
from ..network.answer_end import AnswerEnd, Framing
from ..network.http1_client import Exchange
from ..utils.clock import monotonic
from ..utils.tasks import TaskSet
from .job import Job

# Seconds from a broken answer to the check; a process that ends closes its port last.
CHECK_DELAY_S = 0.05
# The digest of a larger body takes long enough to delay other requests, so that it is
# computed only after a crash.
LARGE_BODY_BYTES = 65_536
# Seconds for which a process that has crashed and started again at once may take to
# register, and between two looks for it.
RESTART_WAIT_S = 2.5
RESTART_POLL_S = 0.25
CRASH_ENDS = frozenset({AnswerEnd.CLOSED, AnswerEnd.RESET})


class RunUnderWay:
    """One request at a runner, from its send to the end of its answer.

    Parameters
    ----------
    job : Job
    reads_prompt : bool
        Whether the runner reads a prompt before it answers.
    """

    def __init__(self, job: Job, reads_prompt: bool) -> None:
        self.job = job
        self._reads_prompt = reads_prompt
        self._sent_at = monotonic()
        self._head_at: float | None = None
        self._answer: Exchange | None = None

    def note_head(self, answer: Exchange) -> None:
        """Record that the head of the answer has arrived."""
        self._head_at, self._answer = monotonic(), answer

    @property
    def after_head_s(self) -> float | None:
        """Seconds since the head of the answer; None before it."""
        return None if self._head_at is None else monotonic() - self._head_at

    @property
    def events(self) -> int:
        """Complete events of the answer."""
        return 0 if self._answer is None else self._answer.events

    @property
    def has_survived(self) -> bool:
        """Whether it has run for longer than a request that crashes its runner."""
        return bool(self.events) and (self.after_head_s or 0.0) > SURVIVED_S

    @property
    def is_whole(self) -> bool:
        """Whether the answer is a success that has ended as a whole.

        An answer without a length or chunks ends in the same way if its runner crashes.
        """
        answer = self._answer
        if answer is None or not 200 <= answer.head.status < 300:
            return False
        is_framed = answer.framing is not Framing.CONNECTION
        return answer.end is not None and (is_framed or self.has_survived)

    def crashed(self) -> CrashedRun:
        """Return it as evidence on a crash at this moment."""
        call_s = monotonic() - self._sent_at
        weight = crash_weight(
            call_s, self.after_head_s, self.events, self._reads_prompt
        )
        return CrashedRun(self.job.id, self.job.traits, weight)


class CrashDetection:
    """Tells crashes from other ends of answers.

    Parameters
    ----------
    reports : CrashReports
    runners : RunnerDirectory
    unreachable_runners : UnreachableRunners
    is_down : coroutine function
        Returns whether no process listens at the address of a runner.
    tasks : TaskSet
    """

    def __init__(
        self,
        reports: CrashReports,
        runners: RunnerDirectory,
        unreachable_runners: UnreachableRunners,
        is_down: Callable[[Registration], Awaitable[bool]],
        tasks: TaskSet,
    ) -> None:
        self._reports = reports
        self._runners = runners
        self._unreachable_runners = unreachable_runners
        self._is_down = is_down
        self._tasks = tasks
        self._runs_by_runner: defaultdict[RunnerKey, list[CrashedRun]] = defaultdict(
            list
        )

    def note_end(self, run: RunUnderWay) -> None:
        """Record that the answer of a run has ended without an error."""
        if run.is_whole:
            self._acquit(run.job)

    def _acquit(self, job: Job) -> None:
        has_crashes = bool(self._reports.causes.crash_by_runner)
        is_large = len(job.request.body) > LARGE_BODY_BYTES
        self._reports.note_whole(
            job.part_traits if is_large and not has_crashes else job.traits
        )

    def note_broken(
        self, runner: Registration, run: RunUnderWay, end: AnswerEnd | None
    ) -> None:
        """Record that an answer broke off; check whether its runner has crashed."""
        if run.has_survived:
            self._acquit(run.job)
            return
        crashed = run.crashed()
        is_planned = not self._runners.is_usable(runner.key)
        if end not in CRASH_ENDS or not crashed.weight or is_planned:
            return
        is_checking = runner.key in self._runs_by_runner
        self._runs_by_runner[runner.key].append(crashed)
        if not is_checking:
            self._tasks.start(self._check(runner), "check-crash")

    async def _check(self, runner: Registration) -> None:
        broke_at = monotonic()
        await asyncio.sleep(CHECK_DELAY_S)
        is_down = await self._is_down(runner)
        runs = self._runs_by_runner.pop(runner.key)
        if is_down:
            self._unreachable_runners.mark_unreachable(runner.key)
        if is_down or await self._is_replaced(runner, broke_at):
            self._reports.report(runner.key, runs)

    async def _is_replaced(self, runner: Registration, since: float) -> bool:
        """Wait for the registration of a process that has started in its place."""
        while monotonic() - since < RESTART_WAIT_S:
            if self._runners.is_replaced(runner, since):
                return True
            await asyncio.sleep(RESTART_POLL_S)
        return False
