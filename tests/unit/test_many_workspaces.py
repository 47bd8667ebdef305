"""Memory and time that many workspaces take."""

from __future__ import annotations

import json
import time
import tracemalloc

from siskinlever._internal.dispatch.authorization import Credential, Decision, decide
from siskinlever._internal.models.host_settings import KeyBounds
from siskinlever._internal.network.http1_server import ReceivedRequest
from siskinlever._internal.platform import records, wire
from siskinlever_testbed.platform_fleet import configuration

WORKSPACES, KEYS = 3_700, 4
MAX_BYTES = 10_000_000
MAX_CHECK_S = 50e-6
# Sends of a generation that runs once: arrival, prefill and decode, the last two also
# when the connection is open.
CHECKS = 5
REQUESTS = 2_000
BOUNDS = KeyBounds(fails_closed=True)


def key(workspace: int, number: int) -> str:
    return f"sk-{workspace:06d}-{number}-0123456789abcdef0123456789abcdef"


def test_many_workspaces_fit_in_memory_and_cost_little_time_for_each_request():
    tenants = [
        {
            "name": f"workspace-{n}",
            "api_keys": [key(n, k) for k in range(KEYS)],
            "priority": n % 3,
            "unit": "token_count",
            "uncached_tokens": 500,
            "rate_per_s": 1000 + n,
            "burst": 5000,
        }
        for n in range(WORKSPACES)
    ]
    document = json.dumps(configuration(tenants=tenants)).encode()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    by_digest = records.decode_configuration(document).workspace_by_key_digest
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert by_digest is not None and len(by_digest) == WORKSPACES * KEYS
    assert after - before + len(document) <= MAX_BYTES

    requests = [
        ReceivedRequest(
            b"POST",
            b"/x",
            ((b"Authorization", f"Bearer {key(n, n % KEYS)}".encode()),),
            b"",
        )
        for n in range(REQUESTS)
    ]
    best_s = float("inf")
    for _ in range(5):
        began_at = time.thread_time()
        for request in requests:
            credential = Credential.of(wire.caller_keys(request))
            for _ in range(CHECKS):
                verdict = decide(credential, False, by_digest, 1.0, 2.0, BOUNDS)
                assert verdict.decision is Decision.ALLOWED
        best_s = min(best_s, (time.thread_time() - began_at) / REQUESTS)
    assert best_s <= MAX_CHECK_S
    print(f"{(after - before) / 1e6:.2f} MB, {best_s * 1e6:.1f} us for each request")
