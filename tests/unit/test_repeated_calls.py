"""A repeated service call is not reported as not run if an earlier one may have run."""

from __future__ import annotations

import pytest
from expression import Ok

from siskinlever._internal.metrics.registry import Metrics
from siskinlever._internal.models.declaration import Service, ServiceRunner
from siskinlever._internal.models.outcome import Outcome
from siskinlever._internal.requests.registration import (
    Confirmation,
    RegisteredAttempt,
    Validity,
)
from siskinlever._internal.requests.service_executor import (
    ServiceExecutor,
    ServiceRequest,
)
from siskinlever._internal.services.client import ServiceCall
from siskinlever._internal.timeline.recorder import Recorder
from siskinlever._internal.utils.clock import HybridClock
from siskinlever._internal.utils.tasks import task_set


class StubRegistrar:
    """Returns a given `ran` flag on registration and a given confirmation."""

    def __init__(self, ran, confirmation):
        self.ran = ran
        self.confirmation = confirmation

    async def register(self, request):
        return Ok(RegisteredAttempt(1, "nonce", self.ran, None, ()))

    async def confirm(self, request, registered_attempt, handles):
        return self.confirmation

    async def abandon(self, request, registered_attempt, ran):
        return False


@pytest.mark.parametrize(
    ("ran", "confirmation", "outcome"),
    [
        (True, Confirmation(Validity.CURRENT, True), Outcome.MAY_HAVE_RUN),
        (False, Confirmation(Validity.CURRENT, True), Outcome.MAY_HAVE_RUN),
        (False, Confirmation(Validity.REPLACED), Outcome.MAY_HAVE_RUN),
        (False, Confirmation(Validity.CURRENT), Outcome.NOT_RUN),
    ],
)
async def test_refusal_after_an_earlier_attempt(ran, confirmation, outcome):
    runner = ServiceRunner(
        name="stock-1", address="127.0.0.1:9", zone="hall-a", leaving=True
    )
    service = Service(name="stock", runners=(runner,), idempotent=True)
    call = ServiceCall("POST", "", {}, b"{}", "lookup-1")
    request = ServiceRequest("brosur", "lookup-1", service, call, chose_id=True)
    recorder = Recorder("host-1", HybridClock())
    async with task_set() as tasks:
        service_executor = ServiceExecutor(
            None,
            None,
            StubRegistrar(ran, confirmation),
            recorder,
            Metrics(),
            tasks,
            set(),
        )
        result = await service_executor.run(request)
    assert result.error.outcome is outcome
