"""Duties of a host that go on after a round has failed."""

from __future__ import annotations

import asyncio

import pytest

from siskinlever._internal.metrics.registry import Metrics
from siskinlever._internal.utils import duties as module
from siskinlever._internal.utils.duties import Duties
from siskinlever._internal.utils.tasks import TaskSet
from siskinlever_testbed.model.virtual_time import VirtualTimeLoop


class Rounds:
    """A duty of one round a second that fails as often as it is told to."""

    def __init__(self, loop: VirtualTimeLoop) -> None:
        self._loop = loop
        self.failures_left = 0
        self.error: BaseException = RuntimeError("odd record")
        self.done_at: list[float] = []
        self.is_released = False

    async def run(self) -> None:
        try:
            while True:
                if self.failures_left:
                    self.failures_left -= 1
                    raise self.error
                self.done_at.append(self._loop.time())
                await asyncio.sleep(1.0)
        finally:
            await asyncio.sleep(0)
            self.is_released = True


class Host:
    """A host with two duties on a virtual clock."""

    def __init__(self) -> None:
        self.loop = VirtualTimeLoop()
        self.tasks, self.metrics = TaskSet(), Metrics()
        self.reported: list[tuple[str, BaseException]] = []
        self.duties = Duties(
            self.tasks,
            self.metrics,
            lambda duty, error: self.reported.append((duty.name, error)),
        )
        self.first, self.second = Rounds(self.loop), Rounds(self.loop)
        self.loop.run_until_complete(self.start())

    async def start(self) -> None:
        self.duties.start("first", self.first.run, is_essential=True)
        self.duties.start("second", self.second.run)


@pytest.fixture
def host():
    found = Host()
    yield found
    found.loop.run_until_complete(found.tasks.close())
    found.loop.finish()


@pytest.mark.parametrize(
    "error", [RuntimeError("odd"), RecursionError(), asyncio.CancelledError()]
)
def test_duty_is_back_within_two_seconds_of_a_round_that_failed(host, error):
    host.loop.advance_time(3.0)
    host.first.error, host.first.failures_left = error, 1
    host.loop.advance_time(1.0)
    failed_at = host.loop.time()
    host.loop.advance_time(2.0)
    assert host.first.done_at[-1] > failed_at - 1.0
    assert host.metrics.value("duty_failures", duty="first") == 1
    assert [name for name, _ in host.reported] == ["first"]
    assert type(host.reported[0][1]) is type(error)


def test_other_duties_go_on_beside_one_that_fails(host):
    host.first.failures_left = 1_000
    host.loop.advance_time(10.0)
    assert len(host.second.done_at) >= 10
    assert host.metrics.value("duty_failures", duty="second") == 0


def test_duty_that_goes_on_failing_is_not_tried_often(host):
    host.first.failures_left = 1_000
    host.loop.advance_time(30.0)
    assert 30 <= host.metrics.value("duty_failures", duty="first") <= 30 / 0.5 + 8


def test_lost_essential_duty_is_told_until_it_is_kept_again(host):
    host.loop.advance_time(1.0)
    host.first.failures_left = 1_000
    host.loop.advance_time(module.LOST_S + 1.5)
    assert host.duties.has_lost_essential
    (failing,) = host.duties.failing()
    assert (failing.name, failing.last_error) == ("first", "RuntimeError('odd record')")
    host.duties.export()
    assert "duty_failing_seconds" in host.metrics.exposition()
    host.first.failures_left = 0
    host.loop.advance_time(module.MAX_DELAY_S + module.KEPT_S)
    assert not host.duties.has_lost_essential and host.duties.failing() == []
    host.duties.export()
    assert "duty_failing_seconds{" not in host.metrics.exposition()


def test_lost_duty_that_callers_do_not_need_takes_no_host_out_of_service(host):
    host.second.failures_left = 1_000
    host.loop.advance_time(10.0)
    assert not host.duties.has_lost_essential
    assert [duty.name for duty in host.duties.failing()] == ["second"]


def test_cancelled_duty_releases_what_it_holds(host):
    host.loop.advance_time(1.5)
    host.loop.run_until_complete(host.tasks.close())
    assert host.first.is_released and host.reported == []


def test_duty_that_ends_leaves_an_equal_one_in_the_list(host):
    async def start_two():
        rounds = Rounds(host.loop)
        kept = host.duties.start("equal", rounds.run)
        await asyncio.sleep(0)
        ended = host.duties.start("equal", Rounds(host.loop).run)
        await asyncio.sleep(0.1)
        ended.cancel()
        await asyncio.sleep(0.1)
        rounds.failures_left = 1_000
        return kept

    host.loop.run_until_complete(start_two())
    host.loop.advance_time(3.0)
    assert [duty.name for duty in host.duties.failing()] == ["equal"]
