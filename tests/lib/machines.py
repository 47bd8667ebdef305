"""Runs a state machine outside Hypothesis."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import TypeVar

from hypothesis.stateful import RuleBasedStateMachine

Machine = TypeVar("Machine", bound=RuleBasedStateMachine)


@contextmanager
def running(machine: Machine) -> Iterator[Machine]:
    """Tear a machine down at the end of the block, which restores the clock."""
    try:
        yield machine
    finally:
        machine.teardown()
