"""Runs calls to plain services; those that may not be repeated run at most once."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass

from expression import Error, Ok, Result

from ..exceptions import ServiceCallError
from ..metrics.registry import Metrics
from ..models.declaration import Service, ServiceRunner
from ..models.events import EventKind
from ..models.ids import RequestId, WorkspaceName
from ..models.outcome import Failed, Reason, Refused
from ..services.client import ServiceAnswer, ServiceCall, ServiceClient
from ..timeline.recorder import Recorder
from ..utils.digests import content_digest
from .claims import Claims

IDEMPOTENT_TRIES = 2
BUSY_RETRY_S = 0.5


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A caller's request for a plain service."""

    workspace: WorkspaceName
    request_id: RequestId
    service: Service
    call: ServiceCall

    @property
    def key(self) -> str:
        """Name of the request among all workspaces."""
        return f"{self.workspace}/{self.request_id}"

    @property
    def body_digest(self) -> str:
        """Digest that tells a repeated request from another."""
        head = f"{self.service.name} {self.call.method} {self.call.path}\n".encode()
        return content_digest(head + self.call.body)


class Deliveries:
    """Runs calls to plain services."""

    def __init__(
        self,
        client: ServiceClient,
        claims: Claims,
        recorder: Recorder,
        metrics: Metrics,
    ) -> None:
        self._client = client
        self._claims = claims
        self._recorder = recorder
        self._metrics = metrics
        self._running_by_runner: Counter[str] = Counter()
        self.leaving_runners: set[str] = set()

    async def run(
        self, request: ServiceRequest
    ) -> Result[ServiceAnswer, Refused | Failed]:
        """Serve a request to its end."""
        if request.service.idempotent:
            result = await self._run_idempotent(request)
        else:
            result = await self._run_once(request)
        outcome = "answered" if result.is_ok() else result.error.outcome.value
        self._metrics.count("requests", service=request.service.name, outcome=outcome)
        self._recorder.record(
            EventKind.REQUEST_ENDED, request.request_id, outcome=outcome
        )
        return result

    async def _run_idempotent(
        self, request: ServiceRequest
    ) -> Result[ServiceAnswer, Refused | Failed]:
        tried: set[str] = set()
        started = False
        for _ in range(IDEMPOTENT_TRIES):
            runner = self._choose(request.service, tried)
            if runner is None:
                break
            tried.add(runner.name)
            try:
                return Ok(await self._call(request, runner))
            except ServiceCallError as error:
                started |= error.started
        if started:
            return Error(Failed(Reason.SERVICE_FAILED, "the service failed"))
        return Error(Refused(Reason.NO_RUNNER, BUSY_RETRY_S, "no runner was reached"))

    async def _run_once(
        self, request: ServiceRequest
    ) -> Result[ServiceAnswer, Refused | Failed]:
        runner = self._choose(request.service, set())
        if runner is None:
            return Error(
                Refused(Reason.NO_RUNNER, BUSY_RETRY_S, "no runner takes new work")
            )
        claim = await self._claims.claim(request.key, request.body_digest)
        if claim.is_error():
            return Error(claim.error)
        self._recorder.record(EventKind.CLAIMED, request.request_id)
        try:
            return Ok(await self._call(request, runner))
        except ServiceCallError as error:
            if error.started:
                return Error(Failed(Reason.SERVICE_FAILED, error.message))
            return await self._not_dispatched(request, claim.ok, error)

    async def _not_dispatched(
        self, request: ServiceRequest, nonce: str, error: ServiceCallError
    ) -> Result[ServiceAnswer, Refused | Failed]:
        """Release the claim; a claim that stays would make a retry fail."""
        released = await self._claims.release(request.key, nonce)
        if not released:
            self._metrics.count("claims_left")
        return Error(Refused(Reason.NO_RUNNER, BUSY_RETRY_S, error.message))

    async def _call(
        self, request: ServiceRequest, runner: ServiceRunner
    ) -> ServiceAnswer:
        self._running_by_runner[runner.name] += 1
        try:
            return await self._client.call(
                runner.address, request.call, request.service.timeout_s
            )
        finally:
            self._running_by_runner[runner.name] -= 1

    def _choose(self, service: Service, tried: set[str]) -> ServiceRunner | None:
        """Take the less busy of two runners chosen at random."""
        runners = [
            r
            for r in service.runners
            if not r.leaving
            and r.name not in self.leaving_runners
            and r.name not in tried
            and self._running_by_runner[r.name] < r.concurrency
        ]
        chosen = random.sample(runners, min(2, len(runners)))
        return min(chosen, key=lambda r: self._running_by_runner[r.name], default=None)
