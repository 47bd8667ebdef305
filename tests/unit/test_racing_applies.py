"""Cases that fuzzing of the configuration found: one apply, called twice."""

from __future__ import annotations

from fuzz.test_configuration import ConfigurationMachine
from lib.fake_key_value import Fate


def _settle(machine, number):
    machine.store.settle(machine.store.calls[number], Fate.SERVED)
    machine.loop.go_on()


def _two_calls_that_race_another():
    """Begin apply 1 at two hosts, the second after apply 2 has won."""
    machine = ConfigurationMachine()
    machine.apply(0, False)
    _settle(machine, 0)  # Reads that there is no root record.
    _settle(machine, 0)  # Writes its part; its root record is on its way.
    machine.apply(1, False)
    while len(machine.store.calls) > 1:
        _settle(machine, 1)
    machine.repeat_apply_number(1)
    _settle(machine, 1)
    _settle(machine, 1)
    return machine


def test_conflict_of_one_call_keeps_the_parts_of_another():
    machine = _two_calls_that_race_another()
    while len(machine.store.calls) > 1:
        _settle(machine, 0)
    machine.serve_all()
    machine.configuration_in_force_is_whole()
    machine.teardown()


def test_accepted_generation_is_the_one_in_the_record():
    machine = _two_calls_that_race_another()
    while len(machine.store.calls) > 1:
        _settle(machine, 1)
    machine.serve_all()
    machine.generations_are_totally_ordered()
    machine.teardown()
