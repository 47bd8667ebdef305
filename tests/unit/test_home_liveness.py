"""A silent admission home is noticed; a slow decision is no silence."""

from __future__ import annotations

import asyncio

import pytest

from siskinlever._internal.exceptions import PeerError
from siskinlever._internal.models.ids import HostName
from siskinlever._internal.routing.liveness import PROBE_PERIOD_S, HomeLiveness
from siskinlever._internal.utils.tasks import task_set

HOME = HostName("host-1")


async def decided(after_s):
    await asyncio.sleep(after_s)
    return "granted"


async def test_slow_decision_is_waited_for():
    async def answers(home):
        return None

    async with task_set() as tasks:
        liveness = HomeLiveness(answers, tasks)
        assert await liveness.call(HOME, decided(3 * PROBE_PERIOD_S)) == "granted"
        assert not liveness.is_silent(HOME)


async def test_all_calls_end_when_the_home_is_silent():
    async def silent(home):
        raise PeerError("no answer")

    async with task_set() as tasks:
        liveness = HomeLiveness(silent, tasks)
        ends = await asyncio.gather(
            *(liveness.call(HOME, decided(30.0)) for _ in range(3)),
            return_exceptions=True,
        )
        assert [type(end) for end in ends] == [PeerError] * 3
        assert liveness.is_silent(HOME)
        with pytest.raises(PeerError):
            await liveness.call(HOME, decided(30.0))
