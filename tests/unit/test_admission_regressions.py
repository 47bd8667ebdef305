"""Regression tests for faults found by fuzzing admission."""

from __future__ import annotations

from fuzz.test_admission import AdmissionMachine, pool


def _machine_with_full_runner():
    machine = AdmissionMachine()
    for _ in range(2):
        machine.announce(decode="decode-2", prefill="prefill-1", ended=True)
    return machine


def test_submit_after_release_reserves_nothing():
    """A request that arrives after its release must not occupy a slot."""
    machine = AdmissionMachine()
    requested = machine._request("host-a", machine.model, 10, 5.0, ())
    machine.scheduler.release(requested.reservation_id, machine.now)
    machine.scheduler.submit(requested, machine.now)
    assert not machine.scheduler.granted_by_id


def test_redeclared_runner_keeps_its_reservations():
    """Held slots of a runner that is declared again must not be granted twice."""
    machine = _machine_with_full_runner()
    machine.scheduler.configure(pool(absent=("decode-2",)))
    machine.scheduler.configure(pool(absent=("decode-1",)))
    machine.scheduler.submit(
        machine._request("host-a", machine.model, 10, 5.0, ()), machine.now
    )
    assert len(machine.scheduler.granted_by_id) == 2


def test_refused_request_stays_refused():
    """A refused request that is submitted again must not be granted as well."""
    machine = _machine_with_full_runner()
    machine.scheduler.configure(pool(leaving=("decode-1", "decode-2")))
    requested = machine._request("host-a", machine.model, 10, 5.0, ())
    machine.scheduler.submit(requested, machine.now)
    machine.scheduler.configure(pool())
    machine.scheduler.submit(requested, machine.now)
    assert requested.reservation_id in machine.scheduler.refused_by_id
    assert requested.reservation_id not in machine.scheduler.granted_by_id
