"""Adapter to engines that speak vLLM's OpenAI-compatible dialect.

A prefill asks for one token with ``kv_transfer_params.do_remote_decode``; the
decode passes on what came back with ``do_remote_prefill``. Streams are server
sent events with ids, resumed by ``Last-Event-ID``.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import aiohttp

from ..exceptions import (
    EngineBusyError,
    EngineError,
    KVCacheLostError,
    OrderRefusedError,
    StreamBrokenError,
)
from .base import Chunk, EngineCall, LoadedState, LoadReport, Prefilled

SILENCE_TIMEOUT_S = 2.0
FIRST_CHUNK_TIMEOUT_S = 10.0
ABORT_TIMEOUT_S = 0.5
LOAD_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 2.0
MAX_EVENT_BYTES = 1 << 20
DONE = "[DONE]"

ERROR_BY_STATUS: dict[int, type[EngineError]] = {
    410: KVCacheLostError,
    412: OrderRefusedError,
    429: EngineBusyError,
    503: EngineBusyError,
}


class VllmEngine:
    """Calls one engine.

    Parameters
    ----------
    session : aiohttp.ClientSession
    address : str
        IP number and port.
    """

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._session = session
        self._url = f"http://{address}"

    async def prefill(self, call: EngineCall, timeout_s: float) -> Prefilled:
        """Process a prompt and export its KV cache; raises `EngineError`."""
        body = _body(call, max_tokens=1, stream=False)
        body["kv_transfer_params"] = {"do_remote_decode": True}
        async with self._post("/v1/completions", body, call, timeout_s) as response:
            answer = await response.json()
        try:
            usage = answer["usage"]
            details = usage.get("prompt_tokens_details") or {}
            return Prefilled(
                answer["kv_transfer_params"],
                int(usage["prompt_tokens"]),
                int(details.get("cached_tokens", 0)),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise EngineError(f"the prefill's answer is damaged: {error!r}") from error

    async def decode(
        self, call: EngineCall, prefilled: Prefilled
    ) -> AsyncIterator[Chunk]:
        """Import a KV cache and generate; raises `EngineError`."""
        body = _body(call, max_tokens=call.max_tokens, stream=True)
        body["kv_transfer_params"] = prefilled.transfer
        async with self._post("/v1/completions", body, call, None) as response:
            async for chunk in _chunks(response, first=0):
                yield chunk

    async def resume(self, engine_request_id: str, after: int) -> AsyncIterator[Chunk]:
        """Read on a running generation after the chunk with an index."""
        url = f"{self._url}/v1/completions/{engine_request_id}/stream"
        headers = {"Last-Event-ID": str(after)}
        async with _translated():
            async with self._session.get(url, headers=headers) as response:
                await _check(response)
                async for chunk in _chunks(response, first=after + 1):
                    yield chunk

    async def abort(self, engine_request_id: str) -> None:
        """Release all that the engine holds for a generation."""
        body = {"rid": engine_request_id}
        async with _translated(), asyncio.timeout(ABORT_TIMEOUT_S):
            async with self._session.post(
                f"{self._url}/abort_request", json=body
            ) as response:
                await _check(response)

    async def load(self) -> LoadReport:
        """Read the engine's load report."""
        async with _translated(), asyncio.timeout(LOAD_TIMEOUT_S):
            async with self._session.get(f"{self._url}/load") as response:
                await _check(response)
                report = await response.json()
        try:
            return LoadReport(
                running=int(report["running"]),
                waiting=int(report["waiting"]),
                slots=int(report["slots"]),
                leaving=bool(report.get("leaving", False)),
                request_ids=tuple(report.get("request_ids", ())),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise EngineError(f"the load report is damaged: {error!r}") from error

    async def order(
        self, kind: str, arguments: dict[str, Any], fencing_token: int
    ) -> None:
        """Order the engine to load something or to change its role."""
        headers = {"X-Fencing-Token": str(fencing_token)}
        async with _translated(), asyncio.timeout(ORDER_TIMEOUT_S):
            async with self._session.post(
                f"{self._url}/v1/{kind}", json=arguments, headers=headers
            ) as response:
                await _check(response)

    async def loaded(self) -> LoadedState:
        """Read what the engine has loaded."""
        async with _translated(), asyncio.timeout(LOAD_TIMEOUT_S):
            async with self._session.get(f"{self._url}/v1/loaded") as response:
                await _check(response)
                found = await response.json()
        try:
            return LoadedState(
                dict(found["loaded"]),
                dict(found.get("loading", {})),
                int(found["fencing_token"]),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise EngineError(f"the loaded state is damaged: {error!r}") from error

    @asynccontextmanager
    async def _post(
        self, path: str, body: dict[str, Any], call: EngineCall, timeout_s: float | None
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        headers = {"X-Request-Id": call.engine_request_id}
        async with _translated(), asyncio.timeout(timeout_s):
            async with self._session.post(
                self._url + path, json=body, headers=headers
            ) as response:
                await _check(response)
                yield response


def _body(call: EngineCall, max_tokens: int, stream: bool) -> dict[str, Any]:
    return {
        **call.sampling,
        "model": call.model,
        "prompt": call.prompt,
        "max_tokens": max_tokens,
        "stream": stream,
        "priority": call.priority,
    }


@asynccontextmanager
async def _translated() -> AsyncIterator[None]:
    """Turn errors of the HTTP client into errors of this layer."""
    try:
        yield
    except aiohttp.ClientConnectorError as error:
        raise EngineError(f"engine not reached: {error!r}", started=False) from error
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
        raise StreamBrokenError(f"engine connection broke: {error!r}") from error


async def _check(response: aiohttp.ClientResponse) -> None:
    if response.status == 200:
        return
    text = (await response.text())[:200]
    error = ERROR_BY_STATUS.get(response.status, EngineError)
    raise error(f"engine answered {response.status}: {text}")


async def _chunks(response: aiohttp.ClientResponse, first: int) -> AsyncIterator[Chunk]:
    """Yield the chunks of a stream in order; drop doubled ones.

    Raises
    ------
    StreamBrokenError
        The stream skipped a chunk, fell silent or ended with no final marker.
    """
    expected = first
    timeout_s = FIRST_CHUNK_TIMEOUT_S
    lines = response.content
    event_id = -1
    while True:
        async with asyncio.timeout(timeout_s):
            line = (await lines.readline()).decode().rstrip("\r\n")
        if not line and lines.at_eof():
            raise StreamBrokenError("the stream ended with no final marker")
        if line.startswith("id:"):
            event_id = int(line[3:])
        if not line.startswith("data:"):
            continue
        data = line[5:].strip()
        if data == DONE:
            yield Chunk(expected, "", last=True)
            return
        timeout_s = SILENCE_TIMEOUT_S
        if event_id < expected:
            continue
        if event_id > expected:
            raise StreamBrokenError(f"chunk {expected} is missing")
        choice = json.loads(data)["choices"][0]
        yield Chunk(expected, choice["text"], False, choice.get("finish_reason") or "")
        expected += 1
