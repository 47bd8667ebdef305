"""An unresponsive admission home is detected by probes, not by slow decisions."""

from __future__ import annotations

import asyncio

import pytest

from siskinlever._internal.exceptions import PeerError
from siskinlever._internal.models.ids import HostName
from siskinlever._internal.routing.liveness import PROBE_PERIOD_S, HomeLiveness
from siskinlever._internal.utils.tasks import task_set

HOME = HostName("host-1")


async def decide_after(delay_s):
    await asyncio.sleep(delay_s)
    return "granted"


async def test_slow_decision_does_not_make_home_unresponsive():
    async def probe_answered(home):
        return None

    async with task_set() as tasks:
        liveness = HomeLiveness(probe_answered, tasks)
        assert await liveness.call(HOME, decide_after(3 * PROBE_PERIOD_S)) == "granted"
        assert not liveness.is_unresponsive(HOME)


async def test_all_calls_fail_when_home_is_unresponsive():
    async def probe_failed(home):
        raise PeerError("no answer")

    async with task_set() as tasks:
        liveness = HomeLiveness(probe_failed, tasks)
        results = await asyncio.gather(
            *(liveness.call(HOME, decide_after(30.0)) for _ in range(3)),
            return_exceptions=True,
        )
        assert [type(result) for result in results] == [PeerError] * 3
        assert liveness.is_unresponsive(HOME)
        with pytest.raises(PeerError):
            await liveness.call(HOME, decide_after(30.0))
