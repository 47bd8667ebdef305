"""A host that was wrongly marked dead does not report "not run" of a request that ran.

Regression test: host-a has wrongly marked host-b dead, registers a request at
another home and dispatches it. host-b, which then receives the same request, must
not report it as not run. Found by tests/fuzz/test_attempts.py.
"""

from __future__ import annotations

from fuzz.test_attempts import NotRunMachine
from lib.machines import running


def test_second_host_is_informed_that_request_ran():
    with running(NotRunMachine()) as machine:
        machine.mark_dead("host-a", "host-b")
        machine.add_request("host-a", "critique-1")
        machine.serve_all()
        assert machine.dispatched
        machine.add_request("host-b", "critique-1")
        machine.serve_all()
        machine.at_most_one_completion()
