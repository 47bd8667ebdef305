"""Connections that a peer opens and relays."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest

from siskinlever._internal.exceptions import PeerError
from siskinlever._internal.metrics.registry import Metrics
from siskinlever._internal.peers import peer_pb2
from siskinlever._internal.peers.link import peer_links
from siskinlever._internal.peers.relayed import FRAME_BYTES, RelayRefusedError
from siskinlever._internal.peers.server import peer_server
from siskinlever_testbed.processes import free_addresses

KEY = "key"
TIMEOUT_S = 2.0
REQUEST = peer_pb2.RelayOpen(lifetime_ms=10_000)
OPENED = peer_pb2.RelayFrame(opened=peer_pb2.RelayOpened(opened=True))


@asynccontextmanager
async def connected(handler):
    """Yield a function that opens a connection which the handler relays."""
    (address,) = free_addresses(1)
    async with peer_server(address, KEY, None, {"Relay": handler}):
        async with peer_links(KEY, None, Metrics()) as peers:

            async def open_relay(timeout_s: float = TIMEOUT_S):
                return await peers.open_relay(address, REQUEST, timeout_s)

            yield open_relay


async def test_bytes_pass_both_ways_and_the_end_is_told():
    async def echo(stream) -> None:
        await stream.recv_message()
        await stream.send_message(OPENED)
        await stream.send_message(await stream.recv_message())
        end = peer_pb2.RelayEnd(reset=False)
        await stream.send_message(peer_pb2.RelayFrame(end=end))

    async with connected(echo) as open_relay:
        connection = await open_relay()
        connection.write(b"some bytes")
        await connection.drain()
        assert await connection.read() == b"some bytes"
        assert await connection.read() == b""
        assert connection.at_eof()
        assert not connection.was_reset()


async def test_call_that_ends_without_the_runner_counts_as_reset():
    async def leave(stream) -> None:
        await stream.recv_message()
        await stream.send_message(OPENED)

    async with connected(leave) as open_relay:
        connection = await open_relay()
        assert await connection.read() == b""
        assert connection.was_reset()


async def test_refusal_tells_its_reason():
    async def refuse(stream) -> None:
        await stream.recv_message()
        opened = peer_pb2.RelayOpened(reason="no connection")
        await stream.send_message(peer_pb2.RelayFrame(opened=opened))

    async with connected(refuse) as open_relay:
        with pytest.raises(RelayRefusedError, match="no connection"):
            await open_relay()


async def test_peer_that_does_not_answer_delays_no_longer_than_the_timeout():
    async def wait(stream) -> None:
        await stream.recv_message()
        await asyncio.sleep(60)

    async with connected(wait) as open_relay:
        with pytest.raises(PeerError):
            async with asyncio.timeout(1.0):
                await open_relay(0.2)


async def test_close_ends_the_call_at_the_peer():
    ended = asyncio.Event()

    async def relay(stream) -> None:
        await stream.recv_message()
        await stream.send_message(OPENED)
        try:
            await asyncio.sleep(60)
        finally:
            ended.set()

    async with connected(relay) as open_relay:
        connection = await open_relay()
        connection.close()
        async with asyncio.timeout(0.5):
            await ended.wait()


async def test_peer_sends_little_that_is_not_read_and_other_connections_go_on():
    sent = 0

    async def send_all(stream) -> None:
        nonlocal sent
        await stream.recv_message()
        await stream.send_message(OPENED)
        while True:
            await stream.send_message(peer_pb2.RelayFrame(data=bytes(FRAME_BYTES)))
            sent += 1

    async with connected(send_all) as open_relay:
        unread = [await open_relay() for _ in range(50)]
        await asyncio.sleep(0.5)
        assert sent <= 5 * len(unread)
        before = sent
        connection = await open_relay()
        for _ in range(20):
            assert await connection.read()
        assert sent - before >= 18
        for opened in (*unread, connection):
            opened.close()


async def test_peer_that_reads_nothing_is_sent_little():
    async def read_nothing(stream) -> None:
        await stream.recv_message()
        await stream.send_message(OPENED)
        await asyncio.sleep(60)

    frames = 40
    async with connected(read_nothing) as open_relay:
        connection = await open_relay()
        connection.write(bytes(frames * FRAME_BYTES))
        await asyncio.sleep(0.5)
        assert len(connection._unsent) >= frames - 2
        connection.close()


async def test_http2_connection_without_an_answer_is_replaced_and_goes_on():
    calls_by_peer: dict[object, int] = {}

    async def echo_on_the_first(stream) -> None:
        await stream.recv_message()
        calls = calls_by_peer.get(stream.peer.addr(), 0)
        calls_by_peer[stream.peer.addr()] = calls + 1
        if calls:
            await asyncio.sleep(60)
        await stream.send_message(OPENED)
        while (frame := await stream.recv_message()) is not None:
            await stream.send_message(frame)

    async with connected(echo_on_the_first) as open_relay:
        first = await open_relay()
        with pytest.raises(PeerError):
            await open_relay(0.2)
        second = await open_relay()
        for opened in (first, second):
            opened.write(b"still here")
            assert await opened.read() == b"still here"
            opened.close()
        assert len(calls_by_peer) == 2
