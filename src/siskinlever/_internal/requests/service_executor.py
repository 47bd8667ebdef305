"""Runs calls to plain services; calls that are not idempotent run at most once."""

from __future__ import annotations

import asyncio
import random
from collections import Counter, defaultdict
from collections.abc import Iterator, Set
from contextlib import contextmanager
from dataclasses import dataclass

from expression import Error, Ok, Result

from ..exceptions import ServiceCallError
from ..metrics.registry import Metrics
from ..models.declaration import Service, ServiceRunner
from ..models.events import EventKind
from ..models.ids import RequestId, WorkspaceName
from ..models.outcome import Failed, Reason, Refused, as_may_have_run
from ..routing.retry_budget import RetryBudget
from ..services.client import ServiceAnswer, ServiceCall, ServiceClient
from ..timeline.recorder import Recorder
from ..utils.clock import Deadline
from ..utils.digests import content_digest
from ..utils.tasks import TaskSet
from .claims import Claims
from .registration import RegisteredAttempt, Registrar, Validity
from .running import taken_over_failure

IDEMPOTENT_TRIES = 2
BUSY_RETRY_S = 0.5
# Limit of the time from accepting a request to dispatching it. If the host was
# paused for longer, its callers have given up.
DISPATCH_TIMEOUT_S = 3.0

ServiceResult = Result[ServiceAnswer, Refused | Failed]


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A caller's request for a plain service.

    Parameters
    ----------
    chose_id : bool
        Whether the caller chose the request id, and so may repeat the request.
    """

    workspace: WorkspaceName
    request_id: RequestId
    service: Service
    call: ServiceCall
    chose_id: bool = True
    resume_after: int | None = None

    @property
    def key(self) -> str:
        """Key of the request, unique among all workspaces."""
        return f"{self.workspace}/{self.request_id}"

    @property
    def generated_id(self) -> bool:
        """Whether this host generated the request id."""
        return not self.chose_id

    @property
    def first_token_due(self) -> Deadline:
        """New deadline of the service's answer, ``timeout_s`` from this access."""
        return Deadline(self.service.timeout_s)

    @property
    def body_digest(self) -> str:
        """Digest that distinguishes a repetition from a different request."""
        head = f"{self.service.name} {self.call.method} {self.call.path}\n".encode()
        return content_digest(head + self.call.body)


class ServiceExecutor:
    """Runs calls to plain services.

    Parameters
    ----------
    client : ServiceClient
    claims : Claims
    registrar : Registrar
    recorder : Recorder
    metrics : Metrics
    tasks : TaskSet
        Owns calls that continue after their caller has disconnected.
    leaving_runners : set of str
        Runners that accept no new work; the set's owner keeps it up to date.
    """

    def __init__(
        self,
        client: ServiceClient,
        claims: Claims,
        registrar: Registrar,
        recorder: Recorder,
        metrics: Metrics,
        tasks: TaskSet,
        leaving_runners: Set[str],
    ) -> None:
        self._client = client
        self._claims = claims
        self._registrar = registrar
        self._recorder = recorder
        self._metrics = metrics
        self._tasks = tasks
        self._leaving_runners = leaving_runners
        self._call_count_by_runner: Counter[str] = Counter()
        self._budget_by_service: dict[str, RetryBudget] = defaultdict(RetryBudget)

    @property
    def calls_in_progress(self) -> int:
        """Number of calls in progress, including those without a connected caller."""
        return self._call_count_by_runner.total()

    async def run(self, request: ServiceRequest) -> ServiceResult:
        """Run a request to completion."""
        if not request.service.idempotent:
            result = await self._run_at_most_once(request)
        elif request.chose_id:
            result = await self._run_registered(request)
        else:
            result = await self._run_idempotent(request)
        outcome = "answered" if result.is_ok() else result.error.outcome.value
        self._metrics.count("requests", service=request.service.name, outcome=outcome)
        self._recorder.record(
            EventKind.REQUEST_ENDED, request.request_id, outcome=outcome
        )
        return result

    async def _run_registered(self, request: ServiceRequest) -> ServiceResult:
        """Run an idempotent request whose id the caller chose.

        It is answered at most once.
        """
        registration = await self._registrar.register(request)
        if registration.is_error():
            return Error(registration.error)
        registered_attempt = registration.ok
        validity = Validity.UNKNOWN
        try:
            result = await self._run_confirmed(request, registered_attempt)
            if result.is_ok():
                validity = await self._registrar.complete(request, registered_attempt)
        finally:
            if validity is not Validity.CURRENT:
                self._tasks.start(
                    self._registrar.abandon(request, registered_attempt, ran=True),
                    "abandon",
                )
        if result.is_ok() and validity is not Validity.CURRENT:
            return Error(taken_over_failure())
        return result

    async def _run_confirmed(
        self, request: ServiceRequest, registered_attempt: RegisteredAttempt
    ) -> ServiceResult:
        """Run a request after a replica has recorded the attempt.

        This prevents another host from reporting that the request was not run.
        """
        confirmation = await self._registrar.confirm(request, registered_attempt, ())
        if confirmation.validity is Validity.REPLACED:
            return Error(taken_over_failure())
        if confirmation.validity is Validity.UNKNOWN:
            return Error(self._registrar.home_unreachable(request))
        result = await self._run_idempotent(request)
        if result.is_ok():
            return result
        confirmation = await self._registrar.confirm(request, registered_attempt, ())
        if confirmation.allows_not_run:
            return result
        return Error(as_may_have_run(result.error))

    async def _run_idempotent(self, request: ServiceRequest) -> ServiceResult:
        budget = self._budget_by_service[request.service.name]
        budget.earn()
        tried: set[str] = set()
        started = False
        for try_number in range(IDEMPOTENT_TRIES):
            runner = self._choose_runner(request.service, tried)
            if runner is None or (try_number > 0 and not budget.spend()):
                break
            tried.add(runner.name)
            try:
                return Ok(await self._call(request, runner))
            except ServiceCallError as error:
                started |= error.started
        if started:
            return Error(Failed(Reason.SERVICE_FAILED, "the service failed"))
        return _no_runner("no runner was reached")

    async def _run_at_most_once(self, request: ServiceRequest) -> ServiceResult:
        """Claim and dispatch a request that must run at most once."""
        dispatch_deadline = Deadline(DISPATCH_TIMEOUT_S)
        if self._choose_runner(request.service, set()) is None:
            return _no_runner("no runner takes new work")
        claim = await self._claims.claim(request.key, request.body_digest)
        if claim.is_error():
            return Error(claim.error)
        self._recorder.record(EventKind.CLAIMED, request.request_id)
        # The call continues if the caller disconnects, as it cannot be undone.
        call = self._tasks.start(
            self._dispatch(request, claim.ok, dispatch_deadline), "delivery"
        )
        result: ServiceResult = await asyncio.shield(call)
        return result

    async def _dispatch(
        self, request: ServiceRequest, nonce: str, dispatch_deadline: Deadline
    ) -> ServiceResult:
        """Try runners until one is reached; after that the call is not repeated."""
        tried: set[str] = set()
        message = "no runner takes new work"
        while not dispatch_deadline.passed:
            runner = self._choose_runner(request.service, tried)
            if runner is None:
                break
            tried.add(runner.name)
            try:
                return Ok(await self._call(request, runner))
            except ServiceCallError as error:
                if error.started:
                    return Error(Failed(Reason.SERVICE_FAILED, error.message))
                message = error.message
        if dispatch_deadline.passed:
            self._metrics.count("dispatches_too_late")
            message = "the host was held up for too long before the dispatch"
        await self._claims.release(request.key, nonce)
        return _no_runner(message)

    async def _call(
        self, request: ServiceRequest, runner: ServiceRunner
    ) -> ServiceAnswer:
        with self._count_running(runner):
            return await self._client.call(
                runner.address, request.call, request.service.timeout_s
            )

    @contextmanager
    def _count_running(self, runner: ServiceRunner) -> Iterator[None]:
        self._call_count_by_runner[runner.name] += 1
        try:
            yield
        finally:
            self._call_count_by_runner[runner.name] -= 1

    def _choose_runner(self, service: Service, tried: set[str]) -> ServiceRunner | None:
        """Return the less busy of two available runners chosen at random.

        None if none is available.
        """
        runners = [
            r
            for r in service.runners
            if not r.leaving
            and r.name not in self._leaving_runners
            and r.name not in tried
            and self._call_count_by_runner[r.name] < r.concurrency
        ]
        chosen = random.sample(runners, min(2, len(runners)))
        return min(
            chosen, key=lambda r: self._call_count_by_runner[r.name], default=None
        )


def _no_runner(message: str) -> ServiceResult:
    return Error(Refused(Reason.NO_RUNNER, BUSY_RETRY_S, message))
