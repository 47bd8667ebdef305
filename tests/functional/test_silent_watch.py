"""Watch of the configuration on a connection that stops responding.

Without a bounded watch and a new connection, the host would never notice that the
connection no longer delivers data and would miss all later changes.
"""

from __future__ import annotations

import asyncio
import json

import pytest
from aiohttp import web
from lib.proxy import silent_proxy

from siskinlever._internal.configuration.current import CurrentConfiguration
from siskinlever._internal.configuration.follower import ConfigurationFollower
from siskinlever._internal.configuration.store import ConfigurationStore
from siskinlever._internal.coordination.key_value import KeyValueClient
from siskinlever._internal.metrics.registry import Metrics
from siskinlever._internal.network.sessions import http_session
from siskinlever._internal.timeline.recorder import Recorder
from siskinlever._internal.utils.clock import HybridClock
from siskinlever._internal.utils.pauses import PauseDetector
from siskinlever._internal.utils.tasks import task_set
from siskinlever_testbed.processes import free_addresses
from siskinlever_testbed.standins.key_value import KeyValue
from siskinlever_testbed.standins.record import Record

CONTENT = json.dumps({"version": 1}).encode()
IN_FORCE_WITHIN_S = 17


@pytest.fixture
async def store_address():
    (address,) = free_addresses(1)
    runner = web.AppRunner(KeyValue(Record("")).app(), shutdown_timeout=0.1)
    await runner.setup()
    host, _, port = address.rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()
    yield address
    await runner.cleanup()


async def test_change_is_in_force_in_time_after_the_watch_stopped_responding(
    store_address,
):
    metrics = Metrics()
    async with http_session(pooled=False) as unpooled, task_set() as tasks:
        async with silent_proxy(store_address) as proxy:

            def store_at(address):
                client = KeyValueClient(unpooled, f"http://{address}", metrics)
                return ConfigurationStore(client, "test")

            writer = store_at(store_address)
            await writer.write(CONTENT, "first", None)
            current = CurrentConfiguration()
            pauses = PauseDetector()
            tasks.start(pauses.run(), "pauses")
            follower = ConfigurationFollower(
                current,
                store_at(proxy.address),
                None,  # Without peers, only the watch can deliver the change.
                Recorder("host-1", HybridClock()),
                metrics,
                tasks,
                pauses,
                host_count=lambda: 1,
            )
            tasks.start(follower.run(), "follower")
            async with asyncio.timeout(5):
                await current.wait_available()
                while proxy.accepted < 3:  # Root record, part and watch.
                    await asyncio.sleep(0.05)
            proxy.silence()
            await writer.write(CONTENT, "second", None)
            async with asyncio.timeout(IN_FORCE_WITHIN_S):
                while current.generation < 2:
                    await asyncio.sleep(0.05)
