"""A refusal reports "not run" only if a replica confirms that nothing ran."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from expression import Ok
from fuzz.test_attempts import NotRunMachine

from siskinlever._internal.metrics.registry import Metrics
from siskinlever._internal.models.declaration import Service, ServiceRunner
from siskinlever._internal.models.outcome import Failed, Outcome, Reason, Refused
from siskinlever._internal.requests.execution import Executor
from siskinlever._internal.requests.generation import Generator
from siskinlever._internal.requests.registration import (
    Confirmation,
    RegisteredAttempt,
    Validity,
)
from siskinlever._internal.requests.running import LiveAttempt
from siskinlever._internal.requests.service_executor import (
    ServiceExecutor,
    ServiceRequest,
)
from siskinlever._internal.services.client import ServiceAnswer, ServiceCall
from siskinlever._internal.timeline.recorder import Recorder
from siskinlever._internal.utils.clock import Deadline, HybridClock
from siskinlever._internal.utils.tasks import task_set

REFUSED = Refused(Reason.OVERLOADED, 1.0, "full")
CURRENT, RAN = Confirmation(Validity.CURRENT), Confirmation(Validity.CURRENT, True)
CALLER_ID_REQUEST = SimpleNamespace(
    workspace="atelier",
    request_id="critique-1",
    key="atelier/critique-1",
    body_digest="digest",
    resume_after=None,
    generated_id=False,
)


class StubRegistrar:
    """Returns a given confirmation and records the order of calls."""

    def __init__(self, confirmation: Confirmation) -> None:
        self.confirmation = confirmation
        self.calls: list[str] = []

    async def register(self, request):
        return Ok(RegisteredAttempt(1, "nonce", False, None, ()))

    async def confirm(self, request, registered_attempt, handles):
        self.calls.append("confirm")
        return self.confirmation

    async def complete(self, request, registered_attempt):
        return Validity.CURRENT

    async def abandon(self, request, registered_attempt, ran):
        return False

    def home_unreachable(self, request):
        return Failed(Reason.OVERLOADED, "home unreachable")


def live_attempt() -> LiveAttempt:
    return LiveAttempt(
        CALLER_ID_REQUEST, RegisteredAttempt(1, "nonce", False, None, ()), None
    )


def executor(registrar: StubRegistrar) -> Executor:
    recorder = Recorder("host-1", HybridClock())
    return Executor(None, None, None, registrar, None, recorder, Metrics(), None)


@pytest.mark.parametrize(
    ("confirmation", "outcome"),
    [
        (CURRENT, Outcome.NOT_RUN),
        (RAN, Outcome.MAY_HAVE_RUN),
        (Confirmation(Validity.REPLACED), Outcome.MAY_HAVE_RUN),
        (Confirmation(Validity.UNKNOWN), Outcome.MAY_HAVE_RUN),
    ],
)
async def test_refusal_of_generation_is_confirmed_by_replica(confirmation, outcome):
    request_result = await executor(StubRegistrar(confirmation))._recheck(
        live_attempt(), REFUSED
    )
    assert request_result.outcome is outcome


async def test_attempt_may_have_run_if_replica_reports_run():
    attempt = live_attempt()
    recorder = Recorder("host-1", HybridClock())
    generator = Generator(None, StubRegistrar(RAN), recorder, Metrics())
    await generator._check_current(attempt)
    assert attempt.may_have_run
    assert attempt.as_reported(REFUSED).outcome is Outcome.MAY_HAVE_RUN


class StubClient:
    """Answers service calls and records their order."""

    def __init__(self, registrar: StubRegistrar) -> None:
        self._registrar = registrar

    async def call(self, address, call, timeout_s):
        self._registrar.calls.append("call")
        return ServiceAnswer(200, {}, b"{}")


@pytest.mark.parametrize(
    ("confirmation", "calls"),
    [
        (CURRENT, ["confirm", "call"]),
        (Confirmation(Validity.REPLACED), ["confirm"]),
        (Confirmation(Validity.UNKNOWN), ["confirm"]),
    ],
)
async def test_service_request_with_caller_id_runs_only_if_confirmed(
    confirmation, calls
):
    registrar = StubRegistrar(confirmation)
    runner = ServiceRunner(name="stock-1", address="127.0.0.1:9", zone="hall-a")
    service = Service(name="stock", runners=(runner,), idempotent=True)
    call = ServiceCall("POST", "", {}, b"{}", "lookup-1")
    request = ServiceRequest("brosur", "lookup-1", service, call, chose_id=True)
    recorder = Recorder("host-1", HybridClock())
    async with task_set() as tasks:
        service_executor = ServiceExecutor(
            StubClient(registrar), None, registrar, recorder, Metrics(), tasks, set()
        )
        await service_executor.run(request)
    assert registrar.calls == calls


def test_attempt_waits_for_reply_of_other_replica():
    """This host's own entry alone does not let an attempt start.

    The actual home is wrongly marked dead and the other replica has not replied.
    """
    machine = NotRunMachine()
    machine.mark_dead("host-a", "host-b")
    machine.add_request("host-a", "critique-1")
    assert not machine.dispatched
    machine.serve_all()
    assert machine.dispatched
    machine.teardown()


def test_unexpected_exception_in_call_does_not_block_confirmation():
    machine = NotRunMachine()
    registrar = machine.registrar_by_host["host-a"]

    async def fail(*_):
        raise RuntimeError("unexpected error in a call")

    registrar._peers.call = fail
    request = SimpleNamespace(first_token_due=Deadline(0.3), **vars(CALLER_ID_REQUEST))
    registered_attempt = RegisteredAttempt(1, "nonce", False, None, ())
    confirming = machine.loop.create_task(
        registrar.confirm(request, registered_attempt, ())
    )
    machine.loop.advance_time(3.0)
    assert confirming.done()
    assert confirming.result().validity is Validity.UNKNOWN
    machine.teardown()
