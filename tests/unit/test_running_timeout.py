"""Pauses of a process are not taken for silence of the other side."""

from __future__ import annotations

import asyncio
import os
import time

import pytest
import uvloop

from siskinlever._internal.exceptions import ConnectFailedError
from siskinlever._internal.metrics.registry import Metrics
from siskinlever._internal.network import connection
from siskinlever._internal.peers import peer_pb2
from siskinlever._internal.peers.link import CALL_TIMEOUT_S, PeerLink
from siskinlever._internal.peers.server import peer_server
from siskinlever._internal.utils.running_timeout import MAX_PAUSES, running_timeout
from siskinlever_testbed.processes import free_addresses


def play(coroutine):
    """Run a coroutine on the loop of the hosts, which runs timers before answers."""
    os.environ["UV_USE_IO_URING"] = "0"
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(coroutine)


def pause_soon(seconds: float) -> None:
    """Hold up the event loop, as if the process were not scheduled."""
    asyncio.get_running_loop().call_soon(time.sleep, seconds)


@pytest.mark.parametrize("pauses", [0, 1, 10 * MAX_PAUSES])
def test_silence_is_found_in_time_however_often_the_process_pauses(pauses):
    async def measure():
        started_at = time.monotonic()
        with pytest.raises(TimeoutError):
            async with running_timeout(0.2):
                for _ in range(pauses):
                    pause_soon(0.12)
                    await asyncio.sleep(0.01)
                await asyncio.Event().wait()
        return time.monotonic() - started_at

    took_s = play(measure())
    assert 0.2 <= took_s <= 0.2 + (min(pauses, MAX_PAUSES) + 4) * 0.2


class EarlyLoop(asyncio.SelectorEventLoop):
    """Runs timers a millisecond early, as uvloop may."""

    def call_later(self, delay, callback, *arguments, context=None):
        return super().call_later(delay - 0.001, callback, *arguments, context=context)


def test_timeout_is_not_early_though_timers_are():
    async def measure():
        started_at = time.monotonic()
        with pytest.raises(TimeoutError):
            async with running_timeout(0.2):
                await asyncio.Event().wait()
        return time.monotonic() - started_at

    with asyncio.Runner(loop_factory=EarlyLoop) as runner:
        assert runner.run(measure()) >= 0.2


def test_runner_is_reached_though_this_process_pauses_while_it_connects():
    async def connect():
        (address,) = free_addresses(1)
        host, _, port = address.rpartition(":")
        server = await asyncio.start_server(lambda *_: None, host, int(port))
        async with server:
            pause_soon(connection.CONNECT_TIMEOUT_S + 0.1)
            (await connection.connect(address)).close()

    play(connect())


def test_connection_that_nobody_answers_fails_in_time(monkeypatch):
    async def never(*_):
        await asyncio.Event().wait()

    async def connect():
        monkeypatch.setattr(asyncio, "open_connection", never)
        started_at = time.monotonic()
        with pytest.raises(ConnectFailedError, match="TimeoutError"):
            await connection.connect("127.0.0.1:9")
        return time.monotonic() - started_at

    assert play(connect()) >= connection.CONNECT_TIMEOUT_S


def test_peer_is_heard_though_this_process_pauses_during_the_call():
    async def echo(message):
        return message

    async def call():
        (address,) = free_addresses(1)
        metrics = Metrics()
        async with peer_server(address, "key", None, {"Exchange": echo}):
            link = PeerLink(address, "key", None, metrics)
            pause_soon(CALL_TIMEOUT_S + 0.1)
            await link.call("Exchange", peer_pb2.Ping(host="host-1"), tries=1)
            link.close()
        return metrics.value("peer_connections_replaced")

    assert play(call()) == 0
