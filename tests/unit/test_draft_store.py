"""DraftStore against the stand-in of the key-value service."""

from __future__ import annotations

import time

import aiohttp
import pytest
from aiohttp.test_utils import TestServer

from siskinlever._internal.coordination.key_value import KeyValueClient
from siskinlever._internal.exceptions import LeaseLapsedError
from siskinlever._internal.metrics.registry import Metrics
from siskinlever._internal.models.outcome import Outcome
from siskinlever._internal.requests.draft_store import (
    DraftBody,
    DraftResult,
    DraftStore,
    StoreResult,
)
from siskinlever_testbed.standins.key_value import KeyValue
from siskinlever_testbed.standins.record import Record

NOW_MS = int(time.time() * 1000)
RETENTION_MS = 1000


@pytest.fixture
async def key_value():
    async with TestServer(KeyValue(Record("")).app()) as server:
        async with aiohttp.ClientSession() as session:
            yield KeyValueClient(session, str(server.make_url("/")), Metrics())


@pytest.fixture
def stores(key_value):
    return [DraftStore(key_value, "test", host) for host in ("host-a", "host-b")]


def body(**changes) -> DraftBody:
    fields = {
        "workspace": "brosur",
        "request_id": "r1",
        "model": "draft",
        "prompt": "Summarize.",
        "max_tokens": 5,
        "sampling": {"stop": ["#"]},
        "chat": False,
        "body_digest": "d1",
        "due_at_ms": NOW_MS,
        "nonce": "n1",
    }
    return DraftBody(**(fields | changes))


def result(text: str) -> DraftResult:
    return DraftResult(
        request_id="r1",
        model="draft",
        chat=False,
        body_digest="d1",
        expires_at_ms=NOW_MS + RETENTION_MS,
        outcome=Outcome.ANSWERED,
        text=text,
    )


async def test_second_execution_does_not_replace_result(key_value, stores):
    first, second = stores
    digest = body().digest
    leases = [await key_value.open_lease(name, 15, False) for name in ("a", "b")]
    assert await first.store(body(), leases[0]) is StoreResult.STORED
    assert await second.list_unassigned(digest[0]) == []
    assert await first.list_unassigned(digest[0], leases[0]) == [digest]
    assert not await second.acquire(digest, leases[1])
    await key_value.close_lease(leases[0])
    assert await second.list_unassigned(digest[0]) == [digest]
    assert await second.acquire(digest, leases[1])
    assert await second.finish(digest, result("second"))
    assert not await first.finish(digest, result("first"))
    found = await first.read_result(digest)
    assert found is not None and found.text == "second"
    assert (await first.read_body(digest), await first.is_held(digest)) == (None, None)


async def test_draft_posted_again_is_not_stored_twice(stores):
    first, second = stores
    assert await first.store(body(), "") is StoreResult.STORED
    assert await second.store(body(nonce="n2"), "") is StoreResult.ALREADY_STORED
    assert await second.store(body(nonce="n3", body_digest="d2"), "") is (
        StoreResult.OTHER_BODY
    )
    await first.finish(body().digest, result("done"))
    assert await second.store(body(nonce="n4"), "") is StoreResult.ALREADY_STORED
    assert await second.read_body(body().digest) is None


async def test_draft_is_not_stored_with_lapsed_lease(stores):
    with pytest.raises(LeaseLapsedError):
        await stores[0].store(body(), "no-such-lease")
    assert await stores[0].check_stored(body()) is StoreResult.UNKNOWN


async def test_results_are_deleted_after_expiry(stores):
    store = stores[0]
    digest = body().digest
    await store.store(body(), "")
    await store.finish(digest, result("done"))
    assert await store.delete_expired(digest[:2], NOW_MS) == 0
    assert await store.read_result(digest) is not None
    assert await store.delete_expired(digest[:2], NOW_MS + RETENTION_MS) == 1
    assert await store.read_result(digest) is None
