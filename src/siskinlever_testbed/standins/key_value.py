"""Stand-in for the key-value service, with Consul's HTTP interface.

Usage:
  key-value --address=ADDRESS [--record=FILE]
"""

from __future__ import annotations

import asyncio
import base64
import json
import time
import uuid
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from .faults import Faults
from .record import Record

EXPIRE_PERIOD_S = 0.05
MAX_TXN_OPERATIONS = 64


@dataclass(slots=True)
class Item:
    """The value of a key, with the indexes of its creation and its last change."""

    value: bytes
    created: int
    modified: int
    session: str = ""


@dataclass(slots=True)
class Lease:
    """A Consul session.

    `delete_records` says whether the keys that it locks are deleted when it ends;
    otherwise they are only unlocked.
    """

    ttl_s: float
    expires_at: float
    delete_records: bool


class KeyValue:
    """State and routes of the service."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._item_by_key: dict[str, Item] = {}
        self._lease_by_id: dict[str, Lease] = {}
        self._index = 1
        self._changed = asyncio.Condition()
        self.faults = Faults()

    def app(self) -> web.Application:
        """Return the aiohttp application."""
        app = web.Application(client_max_size=1 << 21)
        self.faults.add_route(app)
        app.router.add_get("/v1/kv/{key:.*}", self._get)
        app.router.add_put("/v1/kv/{key:.*}", self._put)
        app.router.add_delete("/v1/kv/{key:.*}", self._delete)
        app.router.add_put("/v1/txn", self._txn)
        app.router.add_put("/v1/session/create", self._create_session)
        app.router.add_put("/v1/session/renew/{id}", self._renew_session)
        app.router.add_put("/v1/session/destroy/{id}", self._destroy_session)
        return app

    async def expire(self) -> None:
        """End leases that were not renewed in time, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRE_PERIOD_S)
            now = time.monotonic()
            for lease_id, lease in list(self._lease_by_id.items()):
                if lease.expires_at <= now:
                    self._record.add("lease_lapsed", lease=lease_id)
                    await self._end_lease(lease_id)

    async def _get(self, request: web.Request) -> web.Response:
        key = request.match_info["key"]
        self._record.add("read", key=key, watch="index" in request.query)
        if "index" in request.query:
            await self._wait(key, request)
        if "recurse" in request.query:
            keys = sorted(k for k in self._item_by_key if k.startswith(key))
        else:
            keys = [key] if key in self._item_by_key else []
        status = 200 if keys else 404
        items = [self._serialize(k, self._item_by_key[k]) for k in keys]
        headers = {"X-Consul-Index": str(self._index)}
        return web.json_response(items, status=status, headers=headers)

    async def _wait(self, key: str, request: web.Request) -> None:
        known_index = int(request.query["index"])
        wait_s = float(request.query.get("wait", "60s").removesuffix("s"))
        try:
            async with asyncio.timeout(wait_s), self._changed:
                while self._modified(key) == known_index:
                    await self._changed.wait()
        except TimeoutError:
            return

    async def _put(self, request: web.Request) -> web.Response:
        key = request.match_info["key"]
        value = await request.read()
        if len(value) > 1_000_000:
            return web.Response(status=413, text="value too large")
        lease_id = request.query.get("acquire", "")
        if lease_id and not self._may_acquire(key, lease_id):
            return web.json_response(False)
        if "cas" in request.query and int(request.query["cas"]) != self._modified(key):
            self._record.add("conflict", key=key)
            return web.json_response(False)
        await self._set(key, value, lease_id)
        return web.json_response(True)

    async def _delete(self, request: web.Request) -> web.Response:
        key = request.match_info["key"]
        if "cas" in request.query and int(request.query["cas"]) != self._modified(key):
            return web.json_response(False)
        await self._remove_item(key)
        return web.json_response(True)

    async def _txn(self, request: web.Request) -> web.Response:
        operations = [operation["KV"] for operation in await request.json()]
        if len(operations) > MAX_TXN_OPERATIONS:
            return web.Response(status=413, text="too many operations")
        errors = [
            {"OpIndex": position, "What": error}
            for position, kv in enumerate(operations)
            if (error := self._operation_error(kv))
        ]
        self._record.add("txn", operations=len(operations), errors=len(errors))
        if errors:
            return web.json_response({"Results": None, "Errors": errors}, status=409)
        for kv in operations:
            if kv["Verb"] == "delete":
                await self._remove_item(kv["Key"])
            if kv["Verb"] not in ("cas", "lock", "set"):
                continue
            value = base64.b64decode(kv["Value"])
            await self._set(kv["Key"], value, kv.get("Session", ""))
        return web.json_response({"Results": [], "Errors": None})

    def _operation_error(self, kv: dict[str, Any]) -> str:
        """Return why an operation is not possible, or "" if it is."""
        if kv["Verb"] == "cas" and self._modified(kv["Key"]) != kv["Index"]:
            return "index is stale"
        if kv["Verb"] == "check-not-exists" and kv["Key"] in self._item_by_key:
            return "key exists"
        if kv["Verb"] == "lock" and kv["Session"] not in self._lease_by_id:
            return "invalid session"
        if kv["Verb"] == "lock" and not self._may_acquire(kv["Key"], kv["Session"]):
            return "lock is already held"
        return ""

    async def _create_session(self, request: web.Request) -> web.Response:
        body = json.loads(await request.read() or b"{}")
        ttl_s = float(body.get("TTL", "15s").removesuffix("s"))
        lease_id = str(uuid.uuid4())
        delete = body.get("Behavior") == "delete"
        expires_at = time.monotonic() + ttl_s
        self._lease_by_id[lease_id] = Lease(ttl_s, expires_at, delete)
        self._record.add("lease_opened", lease=lease_id, name=body.get("Name", ""))
        return web.json_response({"ID": lease_id})

    async def _renew_session(self, request: web.Request) -> web.Response:
        lease = self._lease_by_id.get(request.match_info["id"])
        if lease is None:
            return web.json_response([], status=404)
        lease.expires_at = time.monotonic() + lease.ttl_s
        self._record.add("lease_renewed", lease=request.match_info["id"])
        return web.json_response([{"ID": request.match_info["id"]}])

    async def _destroy_session(self, request: web.Request) -> web.Response:
        await self._end_lease(request.match_info["id"])
        return web.json_response(True)

    async def _end_lease(self, lease_id: str) -> None:
        lease = self._lease_by_id.pop(lease_id, None)
        if lease is None:
            return
        held_keys = [
            k for k, item in self._item_by_key.items() if item.session == lease_id
        ]
        for key in held_keys:
            if lease.delete_records:
                await self._remove_item(key)
            else:
                item = self._item_by_key[key]
                item.session = ""
                await self._mark_changed(item)

    def _may_acquire(self, key: str, lease_id: str) -> bool:
        item = self._item_by_key.get(key)
        is_free = item is None or item.session in ("", lease_id)
        return lease_id in self._lease_by_id and is_free

    def _modified(self, key: str) -> int:
        item = self._item_by_key.get(key)
        return item.modified if item else 0

    async def _set(self, key: str, value: bytes, lease_id: str) -> None:
        existing = self._item_by_key.get(key)
        item = existing or Item(value, self._index + 1, 0)
        item.value = value
        item.session = lease_id or item.session
        self._item_by_key[key] = item
        self._record.add("written", key=key, bytes=len(value))
        await self._mark_changed(item)

    async def _remove_item(self, key: str) -> None:
        if self._item_by_key.pop(key, None) is not None:
            self._record.add("deleted", key=key)
        await self._mark_changed(None)

    async def _mark_changed(self, item: Item | None) -> None:
        self._index += 1
        if item is not None:
            item.modified = self._index
        async with self._changed:
            self._changed.notify_all()

    def _serialize(self, key: str, item: Item) -> dict[str, Any]:
        serialized = {
            "Key": key,
            "Value": base64.b64encode(item.value).decode(),
            "CreateIndex": item.created,
            "ModifyIndex": item.modified,
            "Flags": 0,
        }
        return serialized | ({"Session": item.session} if item.session else {})


async def start(arguments: dict[str, Any]) -> tuple[web.Application, Any]:
    """Return the application and its background coroutine."""
    service = KeyValue(Record(arguments["--record"] or ""))
    return service.app(), service.expire()
