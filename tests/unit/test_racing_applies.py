"""Regression tests for an apply called at two hosts while another apply is accepted.

The fuzz test of the configuration found these cases.
"""

from __future__ import annotations

from fuzz.test_configuration import ConfigurationMachine
from lib.fake_key_value import CallOutcome


def _settle(machine, number):
    machine.store.settle(machine.store.calls[number], CallOutcome.SERVED)
    machine.loop.advance_time()


def _two_calls_that_race_another():
    """Start apply 1 at one host, and at a second one once apply 2 was accepted."""
    machine = ConfigurationMachine()
    machine.apply(0, False)
    _settle(machine, 0)  # Reads that no root record exists.
    _settle(machine, 0)  # Writes its part; the root record is next.
    machine.apply(1, False)
    while len(machine.store.calls) > 1:
        _settle(machine, 1)
    machine.repeat_apply_number(1)
    _settle(machine, 1)
    _settle(machine, 1)
    return machine


def test_conflict_of_one_call_keeps_parts_of_the_other():
    machine = _two_calls_that_race_another()
    while len(machine.store.calls) > 1:
        _settle(machine, 0)
    machine.serve_all()
    machine.configuration_in_force_has_all_parts()
    machine.teardown()


def test_returned_generation_matches_the_root_record():
    machine = _two_calls_that_race_another()
    while len(machine.store.calls) > 1:
        _settle(machine, 1)
    machine.serve_all()
    machine.generations_are_totally_ordered()
    machine.teardown()
