"""Stand-in for a model engine with vLLM's OpenAI-compatible interface.

Usage:
  engine --address=ADDRESS --name=NAME --role=ROLE [options]

Options:
  --slots=COUNT           Requests decoded concurrently [default: 20].
  --prefill-rate=RATE     Prompt tokens processed per second [default: 8000].
  --token-time=SECONDS    Time between tokens [default: 0.02].
  --retention=SECONDS     Lifetime of an exported KV cache [default: 0.8].
  --cache-tokens=COUNT    Prefix cache size in tokens [default: 200000].
  --kv-bytes=BYTES        Size of the KV cache of one token [default: 131072].
  --link-rate=RATE        Bytes sent per second by this engine [default: 4e9].
  --load-lag=SECONDS      Age of the load report [default: 0.5].
  --ignore-fencing        Accept orders with outdated fencing tokens.
  --record=FILE           Append-only record of the engine's actions.

Faults in addition to those common to all stand-ins:

- `cut_stream_at`, `end_stream_at`, `silence_at`: a position, used once. Before
  the event at this position, the connection is aborted, the stream ends as if it
  were complete, or it stays open without further events. Position 0 has no effect.
- `double_at`, `swap_at`, `foreign_at`: a position in every stream. The event
  is duplicated, swapped with the next one, or preceded by an event of another
  request.
- `stall_transfer_s`: seconds added to each KV cache transfer.
- `lose_aborts`: the number of abort calls whose answers are lost. All but the
  last of them are also without effect.
- `refuse_completions`: every completion is refused with 503 as if the engine were
  full, while load reports are still answered.
- `leaving`: the load report states that the engine is leaving.
- `load_time_s`: seconds that it takes to load weights.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import Any

import aiohttp
from aiohttp import web

from .answers import answer_tokens, prompt_tokens
from .engine_parts import (
    ExportedCache,
    Generation,
    PrefixCache,
    PrioritySemaphore,
    event_bytes,
)
from .faults import Faults
from .record import Record

TICK_S = 0.005
SILENCE_S = 3600.0


class Engine:
    """State and routes of the engine."""

    def __init__(self, arguments: dict[str, Any]) -> None:
        self.name = arguments["--name"]
        self.role = arguments["--role"]
        self.address = arguments["--address"]
        self.record = Record(arguments["--record"] or "")
        self.record.add("started")
        self.faults = Faults()
        self._prefill_rate = float(arguments["--prefill-rate"])
        self._token_time_s = float(arguments["--token-time"])
        self._retention_s = float(arguments["--retention"])
        self._kv_bytes = int(arguments["--kv-bytes"])
        self._link_rate = float(arguments["--link-rate"])
        self._load_lag_s = float(arguments["--load-lag"])
        self._checks_fencing = not arguments["--ignore-fencing"]
        self._compute = PrioritySemaphore(1)
        self._prefill_busy_until = 0.0
        self._slots = PrioritySemaphore(int(arguments["--slots"]))
        self._link = PrioritySemaphore(1)
        self._cache = PrefixCache(int(arguments["--cache-tokens"]))
        self._exported_by_id: dict[str, ExportedCache] = {}
        self._generation_by_id: dict[str, Generation] = {}
        self._task_by_id: dict[str, asyncio.Task[Any]] = {}
        self._aborted: set[str] = set()
        self._fencing_token = 0
        self._loaded: dict[str, Any] = {}
        self._loading: dict[str, Any] = {}
        self._load_task: asyncio.Task[None] | None = None
        self._reports: deque[tuple[float, dict[str, Any]]] = deque()
        self._session: aiohttp.ClientSession | None = None

    def app(self) -> web.Application:
        """Return the aiohttp application."""
        app = web.Application(client_max_size=16 << 20)
        self.faults.add_route(app)
        app.router.add_post("/v1/completions", self._completions)
        app.router.add_get("/v1/completions/{id}/stream", self._resume)
        app.router.add_post("/abort_request", self._abort)
        app.router.add_get("/load", self._load)
        app.router.add_get("/v1/loaded", self._show_loaded)
        app.router.add_post("/kv/{id}", self._serve_kv_cache)
        app.router.add_post("/v1/{kind}", self._order)
        return app

    async def run(self) -> None:
        """Publish delayed load reports and evict expired KV caches until cancelled."""
        while True:
            now = time.monotonic()
            self._reports.append((now, self._report()))
            while len(self._reports) > 1 and self._reports[1][0] <= (
                now - self._load_lag_s
            ):
                self._reports.popleft()
            for key, exported in list(self._exported_by_id.items()):
                if exported.expires_at <= now and not exported.pulled:
                    del self._exported_by_id[key]
                    self.record.add("evicted", request_id=key, tokens=exported.tokens)
            await asyncio.sleep(TICK_S)

    async def _completions(self, request: web.Request) -> web.StreamResponse:
        if self.faults.values.get("refuse_completions"):
            return web.json_response({"error": "no room"}, status=503)
        body = await request.json()
        request_id = request.headers["X-Request-Id"]
        if request_id in self._aborted:
            return web.json_response({"error": "aborted"}, status=409)
        transfer = body.get("kv_transfer_params") or {}
        if transfer.get("do_remote_decode"):
            return await self._run_abortable(
                request_id, self._prefill(request_id, body)
            )
        return await self._decode(request, request_id, body, transfer)

    async def _run_abortable(self, request_id: str, work: Any) -> web.StreamResponse:
        """Run work as a task that an abort call can cancel.

        The task continues when the connection closes.
        """
        task = asyncio.create_task(work)
        self._task_by_id[request_id] = task
        try:
            return await asyncio.shield(task)  # type: ignore[no-any-return]
        except asyncio.CancelledError:
            if task.cancelled():
                return web.json_response({"error": "aborted"}, status=409)
            raise
        finally:
            if task.done():
                self._task_by_id.pop(request_id, None)
            else:
                task.add_done_callback(lambda _: self._task_by_id.pop(request_id, None))

    async def _prefill(self, request_id: str, body: dict[str, Any]) -> web.Response:
        prompt = body["prompt"]
        tokens = prompt_tokens(prompt)
        arrived = time.monotonic()
        await self._compute.acquire(body.get("priority", 0))
        try:
            cached = self._cache.match_and_insert(prompt)
            self.record.add(
                "prefill_started", request_id=request_id, tokens=tokens, cached=cached
            )
            # Timed from the end of the previous prefill. Otherwise timer delays
            # accumulate and lower the rate.
            started_at = max(arrived, self._prefill_busy_until)
            ends_at = started_at + max(1, tokens - cached) / self._prefill_rate
            await asyncio.sleep(ends_at - time.monotonic())
            self._prefill_busy_until = ends_at
        except asyncio.CancelledError:
            self.record.add("prefill_cancelled", request_id=request_id)
            raise
        finally:
            self._compute.release()
        self.record.add("prefilled", request_id=request_id, tokens=tokens - cached)
        expires_at = time.monotonic() + self._retention_s
        self._exported_by_id[request_id] = ExportedCache(prompt, tokens, expires_at)
        host, _, port = self.address.rpartition(":")
        answer = {
            "id": request_id,
            "choices": [{"index": 0, "text": "", "finish_reason": "length"}],
            "usage": {
                "prompt_tokens": tokens,
                "completion_tokens": 1,
                "prompt_tokens_details": {"cached_tokens": cached},
            },
            "kv_transfer_params": {
                "do_remote_prefill": True,
                "remote_engine_id": self.name,
                "remote_block_ids": [request_id],
                "remote_host": host,
                "remote_port": int(port),
            },
        }
        return web.json_response(answer)

    async def _serve_kv_cache(self, request: web.Request) -> web.StreamResponse:
        """Send a KV cache to a decode engine over this engine's link."""
        request_id = request.match_info["id"]
        exported = self._exported_by_id.get(request_id)
        if exported is None or exported.pulled:
            return web.json_response({"error": "evicted"}, status=404)
        exported.pulled = True
        transfer = self._transfer(request_id, exported)
        return await self._run_abortable(request_id + "/transfer", transfer)

    async def _transfer(self, request_id: str, exported: ExportedCache) -> web.Response:
        await self._link.acquire(0)
        try:
            stall_s = float(self.faults.values.get("stall_transfer_s", 0))
            size = exported.tokens * self._kv_bytes
            await asyncio.sleep(size / self._link_rate + stall_s)
        finally:
            self._link.release()
        del self._exported_by_id[request_id]
        self.record.add("transferred", request_id=request_id, tokens=exported.tokens)
        return web.json_response({"prompt": exported.prompt, "tokens": exported.tokens})

    async def _decode(
        self,
        request: web.Request,
        request_id: str,
        body: dict[str, Any],
        transfer: dict[str, Any],
    ) -> web.StreamResponse:
        task = asyncio.create_task(self._import(request_id, body, transfer))
        self._task_by_id[request_id] = task
        try:
            generation = await asyncio.shield(task)
        except asyncio.CancelledError:
            if task.cancelled():
                return web.json_response({"error": "aborted"}, status=409)
            raise
        finally:
            self._task_by_id.pop(request_id, None)
        if generation is None:
            return web.json_response({"error": "kv cache evicted"}, status=410)
        return await self._stream(request, generation, after=-1)

    async def _import(
        self, request_id: str, body: dict[str, Any], transfer: dict[str, Any]
    ) -> Generation | None:
        """Acquire a slot, pull the KV cache and start the generation."""
        self.record.add("queued", request_id=request_id)
        await self._slots.acquire(body.get("priority", 0))
        self.record.add("held", request_id=request_id)
        try:
            imported = await self._fetch_kv_cache(transfer)
        except BaseException:
            self._release(request_id)
            raise
        if imported is None:
            self._release(request_id)
            return None
        tokens = answer_tokens(body["prompt"], int(body["max_tokens"]))
        generation = Generation(request_id, tokens)
        self._generation_by_id[request_id] = generation
        generate = asyncio.create_task(self._generate(generation))
        self._task_by_id[request_id + "/generate"] = generate
        return generation

    async def _fetch_kv_cache(self, transfer: dict[str, Any]) -> dict[str, Any] | None:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        host, port = transfer["remote_host"], transfer["remote_port"]
        block = transfer["remote_block_ids"][0]
        async with self._session.post(f"http://{host}:{port}/kv/{block}") as response:
            return await response.json() if response.status == 200 else None

    async def _generate(self, generation: Generation) -> None:
        try:
            self.record.add("decode_started", request_id=generation.request_id)
            due = time.monotonic()
            while generation.produced < len(generation.tokens):
                generation.produced += 1
                generation.notify()
                due += self._token_time_s
                await asyncio.sleep(due - time.monotonic())
            generation.done = True
            self.record.add(
                "finished",
                request_id=generation.request_id,
                tokens=len(generation.tokens),
            )
        finally:
            generation.aborted = not generation.done
            generation.notify()
            self._release(generation.request_id)
            self._task_by_id.pop(generation.request_id + "/generate", None)

    def _release(self, request_id: str) -> None:
        self._slots.release()
        self.record.add("released", request_id=request_id)

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        generation = self._generation_by_id.get(request.match_info["id"])
        if generation is None:
            return web.json_response({"error": "unknown request"}, status=404)
        after = int(request.headers.get("Last-Event-ID", "-1"))
        return await self._stream(request, generation, after)

    async def _stream(
        self, request: web.Request, generation: Generation, after: int
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        position = after + 1
        while True:
            changed = generation.changed
            while position < generation.produced:
                for event in self._events(generation, position):
                    await response.write(event)
                position += 1
                if self._trigger_once("cut_stream_at", position):
                    assert request.transport is not None
                    request.transport.abort()
                    return response
                if self._trigger_once("end_stream_at", position):
                    await response.write_eof()
                    return response
                if self._trigger_once("silence_at", position):
                    await asyncio.sleep(SILENCE_S)
            if generation.aborted:
                assert request.transport is not None
                request.transport.abort()
                return response
            if generation.done:
                break
            await changed.wait()
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    def _events(self, generation: Generation, position: int) -> list[bytes]:
        """Return the events to send at a position, after applying the faults."""
        faults = self.faults.values
        event = event_bytes(generation, position)
        last = len(generation.tokens) - 1
        if faults.get("swap_at") == position < last:
            return []
        if position and faults.get("swap_at") == position - 1:
            return [event, event_bytes(generation, position - 1)]
        if faults.get("double_at") == position:
            return [event, event]
        if faults.get("foreign_at") == position:
            foreign = event.replace(generation.request_id.encode(), b"foreign")
            return [foreign.replace(b'"text": "', b'"text": "foreign '), event]
        return [event]

    def _trigger_once(self, fault: str, position: int) -> bool:
        """Return whether a fault applies at a position, and clear it if so."""
        if self.faults.values.get(fault) != position:
            return False
        del self.faults.values[fault]
        return True

    async def _abort(self, request: web.Request) -> web.Response:
        request_id = (await request.json())["rid"]
        lost = self.faults.values.get("lose_aborts", 0)
        if lost:
            self.faults.values["lose_aborts"] = lost - 1
            assert request.transport is not None
            request.transport.abort()
        if lost > 1:
            return web.json_response({})
        self._aborted.add(request_id)
        found = False
        for suffix in ("", "/generate", "/transfer"):
            key = request_id + suffix
            task = self._task_by_id.get(key)
            if task is not None:
                found = True
                task.cancel()
        exported = self._exported_by_id.pop(request_id, None)
        if exported is not None:
            self.record.add("discarded", request_id=request_id, tokens=exported.tokens)
        self.record.add("aborted", request_id=request_id, found=found)
        return web.json_response({"aborted": found})

    async def _load(self, request: web.Request) -> web.Response:
        return web.json_response(self._reports[0][1] if self._reports else {})

    def _report(self) -> dict[str, Any]:
        semaphore = self._compute if self.role == "prefill" else self._slots
        return {
            "running": semaphore.holder_count,
            "waiting": semaphore.waiter_count,
            "slots": semaphore.limit,
            "leaving": bool(self.faults.values.get("leaving", False)),
            "request_ids": sorted(
                {key.partition("/")[0] for key in self._task_by_id}
                | set(self._exported_by_id)
            ),
        }

    async def _show_loaded(self, request: web.Request) -> web.Response:
        shown = {
            "fencing_token": self._fencing_token,
            "loaded": self._loaded,
            "loading": self._loading,
        }
        return web.json_response(shown)

    async def _order(self, request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        token = int(request.headers.get("X-Fencing-Token", "0"))
        if self._checks_fencing and token < self._fencing_token:
            self.record.add("order_refused", kind=kind, token=token)
            return web.json_response({"error": "old fencing token"}, status=412)
        self._fencing_token = max(token, self._fencing_token)
        arguments = await request.json()
        self.record.add("order", kind=kind, token=token, arguments=arguments)
        if kind != "role" and "load_time_s" in self.faults.values:
            self._loading[kind] = arguments
            self._load_task = asyncio.create_task(self._load_weights(kind, arguments))
            return web.json_response({})
        self._loaded[kind] = arguments
        return web.json_response({})

    async def _load_weights(self, kind: str, arguments: Any) -> None:
        """Simulate loading from the weight store, which takes `load_time_s`."""
        self.record.add("load_started", kind=kind)
        await asyncio.sleep(float(self.faults.values["load_time_s"]))
        self._loaded[kind] = arguments
        self._loading.pop(kind, None)
        self.record.add("load_ended", kind=kind)


async def start(arguments: dict[str, Any]) -> tuple[web.Application, Any]:
    """Return the application and its background coroutine."""
    engine = Engine(arguments)
    return engine.app(), engine.run()
