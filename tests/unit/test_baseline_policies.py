"""Placement decisions of the naive and the bounded policy."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest
from lib.pools import model, pool

from siskinlever._internal.engines.base import EngineLoadReport
from siskinlever._internal.models.declaration import Declaration
from siskinlever._internal.models.ids import RequestId, ReservationId
from siskinlever._internal.models.outcome import Reason
from siskinlever._internal.models.work import PlacementRequest
from siskinlever._internal.requests.running import AttemptEndedError
from siskinlever._internal.routing.bounded import BoundedPlacement
from siskinlever._internal.routing.naive import NaivePlacement
from siskinlever._internal.utils.clock import Deadline

LOOKUP = model()


def placement(policy_class, **load_by_runner):
    declared = Declaration(
        version=1, engine_pools=(pool(prefill=2, decode=2),), models=(LOOKUP,)
    )
    reports = {
        name: EngineLoadReport(running, waiting, slots, leaving, ())
        for name, (running, waiting, slots, leaving) in load_by_runner.items()
    }
    return policy_class(
        SimpleNamespace(declaration=declared), SimpleNamespace(by_runner=reports)
    )


def request(due_s=0.7):
    return PlacementRequest(
        ReservationId("r"), RequestId("q"), LOOKUP, 10, 10, (), Deadline(due_s)
    )


def test_naive_uses_round_robin_prefill_and_least_loaded_decode():
    naive = placement(NaivePlacement, d0=(9, 0, 20, False), d1=(3, 5, 20, False))
    grants = [naive.choose(request()) for _ in range(3)]
    assert [grant.prefill.name for grant in grants] == ["p0", "p1", "p0"]
    assert {grant.decode.name for grant in grants} == {"d1"}


def test_naive_excludes_a_runner_that_reports_leaving():
    naive = placement(NaivePlacement, d0=(0, 0, 20, True), d1=(19, 0, 20, False))
    assert naive.choose(request()).decode.name == "d1"


async def test_bounded_refuses_when_all_decode_runners_report_full():
    full = placement(BoundedPlacement, d0=(20, 0, 20, False), d1=(20, 3, 20, False))
    async with full.place(request()) as result:
        assert result.error.reason is Reason.OVERLOADED
    one_slot_free = placement(
        BoundedPlacement, d0=(20, 0, 20, False), d1=(19, 0, 20, False)
    )
    async with one_slot_free.place(request()) as result:
        assert result.ok.grant.decode.name == "d1"


async def test_bounded_drops_request_past_its_target():
    bounded = placement(BoundedPlacement)
    with pytest.raises(AttemptEndedError) as ended:
        async with bounded.place(request(due_s=0.01)) as result:
            assert result.is_ok()
            await asyncio.sleep(30)
    assert ended.value.request_result.reason is Reason.TOO_LATE
