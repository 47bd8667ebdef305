"""Regression test of a case that tests/fuzz/test_attempts.py found."""

from __future__ import annotations

from fuzz.test_attempts import NotRunMachine


def test_second_host_is_informed_that_request_ran():
    machine = NotRunMachine()
    machine.mark_dead("host-a", "host-b")
    machine.add_request("host-a", "critique-1")
    machine.serve_all()
    assert machine.dispatched
    machine.add_request("host-b", "critique-1")
    machine.serve_all()
    machine.at_most_one_completion()
