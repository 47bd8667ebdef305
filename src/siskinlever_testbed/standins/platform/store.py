"""Stand-in for the platform's metadata store.

It listens on a separate port for each host, so that a fault can affect a single
host.
"""

from __future__ import annotations

import asyncio
import base64
import socket
import struct
import time
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any

from aiohttp import web

MAX_HISTORY_EVENTS = 2_000
MAX_PAGE_ITEMS = 500
# SO_LINGER with a timeout of 0: closing the socket resets the connection.
LINGER_ZERO = struct.pack("ii", 1, 0)


class StoreFault(Enum):
    """Fault of all calls from one host."""

    NONE = "none"
    # Status 503 without effect.
    BUSY = "busy"
    # The connection is reset without effect.
    RESET = "reset"
    # No answer.
    SILENT = "silent"
    # Writes take effect, then the connection is reset.
    LOSE_ANSWERS = "lose-answers"
    # The connection is reset, and the write takes effect `late_s` later.
    LATE_WRITES = "late-writes"


@dataclass(slots=True)
class Item:
    """The value of a key; `lease` is its id, 0 for an item without a lease."""

    value: bytes
    revision: int
    created: int
    lease: int


@dataclass(slots=True)
class Lease:
    """A lease; `ends_at` is in seconds of the monotonic clock."""

    ttl_s: float
    ends_at: float


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A copy of the store's content."""

    revision: int
    by_key: dict[str, Item]
    lease_by_id: dict[int, Lease]


@dataclass(slots=True)
class MetadataStoreStandIn:
    """State and routes of the store.

    `compacted_revision` is the revision up to which the history is discarded.
    `late_s` is the delay in seconds of writes under `StoreFault.LATE_WRITES`.
    """

    revision: int = 1
    by_key: dict[str, Item] = field(default_factory=dict)
    lease_by_id: dict[int, Lease] = field(default_factory=dict)
    history: deque[dict[str, Any]] = field(default_factory=deque)
    compacted_revision: int = 0
    fault_by_port: dict[int, StoreFault] = field(default_factory=dict)
    calls: int = 0
    late_s: float = 1.0
    # Value of the Store-Era header in all answers; None to omit it.
    era: int | None = None
    _changed: asyncio.Event = field(default_factory=asyncio.Event)
    # Connections of calls that wait for an answer, and those of them that get none.
    _in_flight: set[asyncio.Transport] = field(default_factory=set)
    _silent: set[asyncio.Transport] = field(default_factory=set)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write an item, as the operator and the runners do; return its revision."""
        self.revision += 1
        existing = self.by_key.get(key)
        created = existing.created if existing else self.revision
        self.by_key[key] = Item(value, self.revision, created, lease)
        self._append_event(self._serialize(key))
        return self.revision

    def remove(self, key: str) -> None:
        """Remove an item if it exists."""
        if self.by_key.pop(key, None) is not None:
            self.revision += 1
            self._append_event({"key": key, "revision": self.revision, "deleted": True})

    def compact(self) -> None:
        """Discard the history, so that watches from older revisions fail with 410."""
        self.history.clear()
        self.compacted_revision = self.revision

    def silence(self) -> None:
        """Answer nothing more on the connections that are open."""
        self._silent |= self._in_flight

    def snapshot(self) -> Snapshot:
        """Return a copy that `restore` accepts."""
        return Snapshot(
            self.revision,
            {key: replace(item) for key, item in self.by_key.items()},
            {number: replace(lease) for number, lease in self.lease_by_id.items()},
        )

    def restore(self, snapshot: Snapshot) -> None:
        """Go back to a copy; what was written since is lost.

        The leases of the copy begin anew.
        """
        self.revision = snapshot.revision
        self.by_key = {key: replace(item) for key, item in snapshot.by_key.items()}
        now = time.monotonic()
        self.lease_by_id = {
            number: replace(lease, ends_at=now + lease.ttl_s)
            for number, lease in snapshot.lease_by_id.items()
        }
        self.history = deque(
            event for event in self.history if event["revision"] <= self.revision
        )
        self.era = (self.era or 0) + 1
        self._changed.set()
        self._changed = asyncio.Event()

    def revoke(self, prefix: str) -> None:
        """End the leases of all keys with a prefix."""
        for key, item in list(self.by_key.items()):
            if key.startswith(prefix) and item.lease:
                self._end_lease(item.lease)

    def _append_event(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        while len(self.history) > MAX_HISTORY_EVENTS:
            self.compacted_revision = self.history.popleft()["revision"]
        self._changed.set()
        self._changed = asyncio.Event()

    def _serialize(self, key: str) -> dict[str, Any]:
        item = self.by_key[key]
        return {
            "key": key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "created": item.created,
            "lease_id": item.lease,
        }

    async def expire(self) -> None:
        """End expired leases until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease_id, lease in list(self.lease_by_id.items()):
                if lease.ends_at <= now:
                    self._end_lease(lease_id)

    def _end_lease(self, lease_id: int) -> None:
        self.lease_by_id.pop(lease_id, None)
        for key in [k for k, item in self.by_key.items() if item.lease == lease_id]:
            self.remove(key)

    def app(self) -> web.Application:
        """Return the aiohttp application."""
        app = web.Application(middlewares=[self._with_fault])
        app.router.add_get("/kv-key", self._get)
        app.router.add_get("/kv-range", self._range)
        app.router.add_get("/kv-watch", self._watch)
        app.router.add_post("/kv-txn", self._txn)
        app.router.add_post("/kv-lease", self._open_lease)
        app.router.add_post("/kv-keep/{lease}", self._renew_lease)
        app.router.add_delete("/kv-lease-end/{lease}", self._revoke_lease)
        return app

    @web.middleware
    async def _with_fault(self, request: web.Request, handler: Any) -> Any:
        self.calls += 1
        assert request.transport is not None
        port = request.transport.get_extra_info("sockname")[1]
        fault = self.fault_by_port.get(port, StoreFault.NONE)
        if fault is StoreFault.BUSY:
            return web.Response(status=503)
        if fault is StoreFault.RESET:
            return _reset(request)
        if fault is StoreFault.SILENT:
            await asyncio.sleep(3600)
        is_write = request.method != "GET"
        if fault is StoreFault.LATE_WRITES and is_write:
            await request.read()
            task = asyncio.create_task(self._handle_late(request, handler))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            return _reset(request)
        connection = request.transport
        self._in_flight.add(connection)
        try:
            response = await handler(request)
        finally:
            self._in_flight.discard(connection)
        if connection in self._silent:
            await asyncio.sleep(3600)
        if self.era is not None:
            response.headers["Store-Era"] = str(self.era)
        if fault is StoreFault.LOSE_ANSWERS and is_write:
            return _reset(request)
        return response

    async def _handle_late(self, request: web.Request, handler: Any) -> None:
        await asyncio.sleep(self.late_s)
        await handler(request)

    async def _get(self, request: web.Request) -> web.Response:
        key = request.query["key"]
        if key not in self.by_key:
            return web.json_response({"current_rev": self.revision}, status=404)
        return web.json_response(self._serialize(key) | {"current_rev": self.revision})

    async def _range(self, request: web.Request) -> web.Response:
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(k for k in self.by_key if k.startswith(prefix) and k > after)
        return web.json_response(
            {
                "items": [self._serialize(key) for key in keys[:MAX_PAGE_ITEMS]],
                "truncated": len(keys) > MAX_PAGE_ITEMS,
                "current_rev": self.revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        prefix, after = request.query["prefix"], int(request.query["after"])
        ends_at = time.monotonic() + int(request.query["wait_ms"]) / 1000
        while True:
            if not self.compacted_revision <= after <= self.revision:
                return web.Response(status=410)
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            remaining_s = ends_at - time.monotonic()
            if events or remaining_s <= 0:
                answer = {"events": events, "current_rev": self.revision}
                return web.json_response(answer)
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except TimeoutError:
                continue

    async def _txn(self, request: web.Request) -> web.Response:
        body = await request.json()
        conditions = body.get("precondition", [])
        writes = body.get("writes", [])
        for condition in conditions:
            item = self.by_key.get(condition["key"])
            if (item.revision if item else 0) != condition["revision"]:
                found = [c["key"] for c in conditions if c["key"] in self.by_key]
                items = [self._serialize(key) for key in found]
                return web.json_response({"items": items}, status=412)
        if any(w["lease_id"] and w["lease_id"] not in self.lease_by_id for w in writes):
            return web.json_response({}, status=404)
        for write in writes:
            if write["key"].startswith(("op/", "servers/")):
                return web.json_response({}, status=403)
            value = base64.b64decode(write["value"])
            self.put(write["key"], value, write["lease_id"])
        for key in body.get("remove", []):
            self.remove(key)
        return web.json_response({"revision": self.revision})

    async def _open_lease(self, request: web.Request) -> web.Response:
        ttl_s = (await request.json())["ttl_ms"] / 1000
        self.revision += 1
        self.lease_by_id[self.revision] = Lease(ttl_s, time.monotonic() + ttl_s)
        answer = {"lease_id": self.revision, "ttl_ms": int(ttl_s * 1000)}
        return web.json_response(answer)

    async def _renew_lease(self, request: web.Request) -> web.Response:
        lease = self.lease_by_id.get(int(request.match_info["lease"]))
        if lease is None:
            return web.json_response({}, status=404)
        lease.ends_at = time.monotonic() + lease.ttl_s
        return web.json_response({"ttl_ms": int(lease.ttl_s * 1000)})

    async def _revoke_lease(self, request: web.Request) -> web.Response:
        self._end_lease(int(request.match_info["lease"]))
        return web.json_response({})


def _reset(request: web.Request) -> web.Response:
    assert request.transport is not None
    sock = request.transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    request.transport.abort()
    return web.Response(status=500)


@asynccontextmanager
async def running_store(ports: list[int]) -> AsyncIterator[MetadataStoreStandIn]:
    """Serve a store on several loopback ports for the duration of a `with` block."""
    store = MetadataStoreStandIn()
    runner = web.AppRunner(store.app(), access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    for port in ports:
        await web.TCPSite(runner, "127.0.0.1", port).start()
    expiry_task = asyncio.create_task(store.expire())
    try:
        yield store
    finally:
        expiry_task.cancel()
        await runner.cleanup()
