"""Calls between hosts over silent and slow connections."""

from __future__ import annotations

import asyncio

import pytest
from lib.proxy import silent_proxy

from siskinlever._internal.exceptions import PeerError
from siskinlever._internal.metrics.registry import Metrics
from siskinlever._internal.peers import peer_pb2
from siskinlever._internal.peers.link import PeerLink
from siskinlever._internal.peers.server import peer_server
from siskinlever_testbed.processes import free_addresses

KEY = "the-key-that-all-hosts-share"
PING = peer_pb2.Ping(host="host-1")


async def echo(message):
    return message


async def slow_echo(message):
    if message.full:
        await asyncio.sleep(60)
    return message


async def test_silent_connection_is_replaced():
    (address,) = free_addresses(1)
    async with peer_server(address, KEY, None, {"Exchange": echo}):
        async with silent_proxy(address) as proxy:
            metrics = Metrics()
            link = PeerLink(proxy.address, KEY, None, metrics)
            await link.call("Exchange", PING)
            proxy.silence()
            reply = await link.call("Exchange", PING)
            link.close()
    assert reply.host == "host-1"
    assert proxy.accepted == 2
    assert metrics.value("peer_connections_replaced") == 1


async def test_connection_to_slow_peer_is_kept():
    (address,) = free_addresses(1)
    async with peer_server(address, KEY, None, {"Exchange": slow_echo}):
        metrics = Metrics()
        link = PeerLink(address, KEY, None, metrics)
        slow = asyncio.create_task(link.call("Exchange", peer_pb2.Ping(full=True)))
        while not slow.done():
            await link.call("Exchange", PING)
            await asyncio.sleep(0.05)
        link.close()
    assert isinstance(slow.exception(), PeerError)
    assert metrics.value("peer_connections_replaced") == 0


async def test_wrong_key_is_refused():
    (address,) = free_addresses(1)
    async with peer_server(address, KEY, None, {"Exchange": echo}):
        link = PeerLink(address, "another-key-than-the-hosts", None, Metrics())
        with pytest.raises(PeerError, match="UNAUTHENTICATED"):
            await link.call("Exchange", PING)
        link.close()


async def test_calls_that_time_out_together_are_not_cancelled():
    (address,) = free_addresses(1)
    async with peer_server(address, KEY, None, {"Exchange": echo}):
        async with silent_proxy(address) as proxy:
            link = PeerLink(proxy.address, KEY, None, Metrics())
            await link.call("Exchange", PING)
            proxy.silence()
            calls = [
                asyncio.create_task(link.call("Exchange", PING)) for _ in range(50)
            ]
            await asyncio.wait(calls)
            link.close()
    assert not [call for call in calls if call.cancelled()]
    assert {call.result().host for call in calls} == {"host-1"}
