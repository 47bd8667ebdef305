"""Costs of single scheduling decisions and peer calls, within this process."""

from __future__ import annotations

import time
import tracemalloc
from dataclasses import dataclass
from typing import Any

from siskinlever._internal.metrics.registry import Metrics
from siskinlever._internal.models.declaration import EnginePool, Model
from siskinlever._internal.models.ids import (
    Attempt,
    HostName,
    Incarnation,
    RequestId,
    ReservationId,
)
from siskinlever._internal.peers import peer_pb2
from siskinlever._internal.peers.link import PeerLink
from siskinlever._internal.peers.server import peer_server
from siskinlever._internal.requests.attempts import (
    AttemptState,
    AttemptTable,
    Entry,
)
from siskinlever._internal.routing.reservations import ReservationRequest
from siskinlever._internal.routing.scheduler import PoolScheduler

from ..fleet import PEER_KEY
from ..processes import free_addresses
from .usage import Cost

SLOTS = 20
WAITING_COUNTS = (10, 100, 1_000)
DECISIONS = 5
CALLS = 1_000
ENTRIES = 10_000
# Far in the future, so that no waiting request is refused as too late.
DUE_IN_S = 100_000.0


@dataclass(frozen=True, slots=True)
class PoolSize:
    """Numbers of runners of a pool, with a name for the report."""

    name: str
    prefill: int
    decode: int


# The pool of one of 10 models that share 600 runners, and a pool of the size
# that the users have now.
POOL_SIZES = (PoolSize("60_runners", 20, 40), PoolSize("6_runners", 2, 4))


async def measure() -> list[Cost]:
    """Measure scheduling decisions, calls between peers and stored attempt entries."""
    costs = [
        _measure_decision(size, waiting)
        for size in POOL_SIZES
        for waiting in WAITING_COUNTS
    ]
    costs += await _measure_call("Exchange", _ping(), _ping())
    costs += await _measure_call("Reserve", _reserve(), peer_pb2.ReserveReply())
    return [*costs, _measure_entry()]


def _measure_decision(size: PoolSize, waiting: int) -> Cost:
    scheduler = PoolScheduler(_pool(size))
    now = time.monotonic()
    held = size.decode * SLOTS
    for number in range(held):
        scheduler.submit(_request(number, now), now)
        scheduler.prefill_ended(ReservationId(f"reservation-{number}"), now)
    for number in range(held, held + waiting):
        # `submit` would also decide about all waiting requests each time.
        scheduler.enqueue(_request(number, now), now)
    granted_ids = list(scheduler.granted_by_id)
    started_at = time.process_time()
    for number in range(DECISIONS):
        scheduler.submit(_request(held + waiting + number, now), now)
        scheduler.release(granted_ids[number], now)
    used_cpu_s = (time.process_time() - started_at) / DECISIONS
    how = f"ask and release, {len(scheduler.waiting_by_id)} waiting, all slots held"
    name = f"admission.decision.{size.name}.{waiting}_waiting"
    return Cost(name, 1e6 * used_cpu_s, "us", how)


async def _measure_call(rpc: str, message: Any, reply: Any) -> list[Cost]:
    """Measure calls over loopback to a handler that answers immediately."""
    address = free_addresses(1)[0]

    async def answer(_: Any) -> Any:
        return reply

    link = PeerLink(address, PEER_KEY, None, Metrics())
    async with peer_server(address, PEER_KEY, None, {rpc: answer}):
        await link.call(rpc, message)
        started_at, cpu_started_at = time.monotonic(), time.process_time()
        for _ in range(CALLS):
            await link.call(rpc, message)
        wall_s = time.monotonic() - started_at
        used_cpu_s = time.process_time() - cpu_started_at
        link.close()
    how = f"{CALLS} calls one after another, both ends in one process"
    size = message.ByteSize() + reply.ByteSize()
    return [
        Cost(f"call.{rpc}.cpu", 1e6 * used_cpu_s / CALLS, "us", how),
        Cost(f"call.{rpc}.wall", 1e6 * wall_s / CALLS, "us", how),
        Cost(f"call.{rpc}.bytes", size, "B", "both messages, without framing"),
    ]


def _measure_entry() -> Cost:
    table = AttemptTable()
    tracemalloc.start()
    for number in range(ENTRIES):
        entry = Entry(
            HostName("host-17"),
            Incarnation(1_700_000_000_000),
            Attempt(1_700_000_000_000 << 16),
            f"nonce-{number:032d}",
            f"{number:064x}",
            AttemptState.ANSWERED,
        )
        table.hold(f"workspace-{number}/request-{number:032d}", entry)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    how = f"traced memory of {ENTRIES} answered requests, less the pair of keepers"
    return Cost("home.memory_per_request", size / ENTRIES, "B", how)


def _pool(size: PoolSize) -> EnginePool:
    runners = [
        {
            "name": f"runner-{number}",
            "address": "127.0.0.1:1",
            "zone": "hall-a",
            "role": "prefill" if number < size.prefill else "decode",
            "slots": SLOTS,
        }
        for number in range(size.prefill + size.decode)
    ]
    return EnginePool.model_validate({"name": "copy-llm", "runners": runners})


def _request(number: int, now: float) -> ReservationRequest:
    return ReservationRequest(
        reservation_id=ReservationId(f"reservation-{number}"),
        request_id=RequestId(f"request-{number}"),
        host=HostName("host-17"),
        incarnation=Incarnation(1),
        model=Model(name="lookup", pool="copy-llm"),
        prompt_tokens=500,
        max_tokens=200,
        prefix_hashes=(number % 50, number),
        due=now + DUE_IN_S,
    )


def _ping() -> peer_pb2.Ping:
    members = [
        peer_pb2.Member(
            host=f"host-{number}",
            zone="pamplemousses",
            incarnation=1_700_000_000_000,
            peer_address="10.0.0.1:7000",
            callers_address="10.0.0.1:8000",
        )
        for number in range(2)
    ]
    stamp = peer_pb2.Stamp(wall_ms=1_700_000_000_000)
    return peer_pb2.Ping(host="host-1", generation=7, stamp=stamp, updates=members)


def _reserve() -> peer_pb2.ReserveRequest:
    return peer_pb2.ReserveRequest(
        reservation_id="host-17~1700000000000~0123456789abcdef~1~0",
        request_id="0123456789abcdef0123456789abcdef",
        host="host-17",
        incarnation=1_700_000_000_000,
        model="lookup",
        prompt_tokens=500,
        max_tokens=200,
        prefix_hashes=[1 << 60, 1 << 61, 1 << 62],
        first_token_due_ms=700,
        wait_ms=200,
    )
