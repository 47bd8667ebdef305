"""A case that fuzzing of the attempts found."""

from __future__ import annotations

from fuzz.test_attempts import NotRunMachine


def test_second_host_learns_that_request_ran():
    machine = NotRunMachine()
    machine.hold_for_dead("host-a", "host-b")
    machine.ask("host-a", "critique-1")
    machine.serve_all()
    assert machine.dispatched
    machine.ask("host-b", "critique-1")
    machine.serve_all()
    machine.one_completion_at_most()
