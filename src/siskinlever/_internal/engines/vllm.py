"""Adapter for engines with vLLM's OpenAI-compatible API.

A prefill requests one token with ``kv_transfer_params.do_remote_decode``. The
decode sends the ``kv_transfer_params`` of the prefill's answer, which contain
``do_remote_prefill``. Streams are server-sent events with ids and are resumed with
``Last-Event-ID``.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import aiohttp

from ..exceptions import (
    EngineBusyError,
    EngineError,
    GenerationLostError,
    KVCacheLostError,
    OrderRefusedError,
    StreamBrokenError,
)
from ..network.sessions import CALL_ERRORS
from .base import Chunk, EngineCall, EngineLoadReport, LoadedState, PrefillResult
from .events import chunks

FIRST_CHUNK_TIMEOUT_S = 5.0
SILENCE_TIMEOUT_S = 2.0
ABORT_TIMEOUT_S = 0.5
REPORT_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 2.0

ERROR_BY_STATUS: dict[int, type[EngineError]] = {
    404: GenerationLostError,
    409: GenerationLostError,
    410: KVCacheLostError,
    412: OrderRefusedError,
    429: EngineBusyError,
    503: EngineBusyError,
}


class VllmEngine:
    """Client of one engine.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Must not reuse connections. One that was used may have stopped transmitting,
        and an engine may write an earlier answer once more on it, which would count
        as the answer to the next call.
    address : str
        IP address and port.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
    ) -> None:
        self._session = session
        self._url = f"http://{address}"

    async def prefill(self, call: EngineCall, timeout_s: float) -> PrefillResult:
        """Process a prompt and export its KV cache; raises `EngineError`."""
        body = _body(call, max_tokens=1, stream=False)
        body["kv_transfer_params"] = {"do_remote_decode": True}
        async with self._post("/v1/completions", body, call, timeout_s) as response:
            answer = await response.json()
        try:
            usage = answer["usage"]
            details = usage.get("prompt_tokens_details") or {}
            return PrefillResult(
                answer["kv_transfer_params"],
                int(usage["prompt_tokens"]),
                int(details.get("cached_tokens", 0)),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise EngineError(f"the prefill's answer is damaged: {error!r}") from error

    async def decode(
        self, call: EngineCall, prefilled: PrefillResult
    ) -> AsyncIterator[Chunk]:
        """Import a KV cache and generate; raises `EngineError`."""
        body = _body(call, max_tokens=call.max_tokens, stream=True)
        body["kv_transfer_params"] = prefilled.transfer
        async with self._post(
            "/v1/completions", body, call, FIRST_CHUNK_TIMEOUT_S, head_only=True
        ) as response:
            stream = chunks(
                response.content,
                call.engine_request_id,
                after=call.first_index - 1,
                first_index=call.first_index,
                first_timeout_s=FIRST_CHUNK_TIMEOUT_S,
                silence_timeout_s=SILENCE_TIMEOUT_S,
            )
            async for chunk in stream:
                yield chunk

    async def resume(
        self, engine_request_id: str, after: int, first_index: int = 0
    ) -> AsyncIterator[Chunk]:
        """Continue to read a running generation, on a new connection.

        Raises `EngineError`.
        """
        url = f"{self._url}/v1/completions/{engine_request_id}/stream"
        headers = {"Last-Event-ID": str(after - first_index)}
        async with _translate_errors():
            async with self._open_stream(url, headers) as response:
                stream = chunks(
                    response.content,
                    engine_request_id,
                    after=after,
                    first_index=first_index,
                    first_timeout_s=SILENCE_TIMEOUT_S,
                    silence_timeout_s=SILENCE_TIMEOUT_S,
                )
                async for chunk in stream:
                    yield chunk

    async def abort(self, engine_request_id: str) -> None:
        """Abort a generation and release its resources; raises `EngineError`."""
        body = {"rid": engine_request_id}
        async with _translate_errors(), asyncio.timeout(ABORT_TIMEOUT_S):
            async with self._session.post(
                f"{self._url}/abort_request", json=body
            ) as response:
                await _check(response)

    async def load(self) -> EngineLoadReport:
        """Fetch the engine's load report; raises `EngineError`."""
        async with _translate_errors(), asyncio.timeout(REPORT_TIMEOUT_S):
            async with self._session.get(f"{self._url}/load") as response:
                await _check(response)
                report = await response.json()
        try:
            return EngineLoadReport(
                running=int(report["running"]),
                waiting=int(report["waiting"]),
                slots=int(report["slots"]),
                leaving=bool(report.get("leaving", False)),
                request_ids=tuple(report.get("request_ids", ())),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise EngineError(f"malformed load report: {error!r}") from error

    async def order(
        self, kind: str, arguments: dict[str, Any], fencing_token: int
    ) -> None:
        """Order the engine to load something or to change its role.

        Raises `EngineError`.
        """
        headers = {"X-Fencing-Token": str(fencing_token)}
        async with _translate_errors(), asyncio.timeout(ORDER_TIMEOUT_S):
            async with self._session.post(
                f"{self._url}/v1/{kind}", json=arguments, headers=headers
            ) as response:
                await _check(response)

    async def loaded(self) -> LoadedState:
        """Fetch the state of the engine's orders; raises `EngineError`."""
        async with _translate_errors(), asyncio.timeout(REPORT_TIMEOUT_S):
            async with self._session.get(f"{self._url}/v1/loaded") as response:
                await _check(response)
                state = await response.json()
        try:
            return LoadedState(
                dict(state["loaded"]),
                dict(state.get("loading", {})),
                int(state["fencing_token"]),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise EngineError(f"malformed loaded state: {error!r}") from error

    @asynccontextmanager
    async def _open_stream(
        self, url: str, headers: dict[str, str]
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Open a stream; its headers must arrive within `SILENCE_TIMEOUT_S`."""
        async with asyncio.timeout(SILENCE_TIMEOUT_S):
            response = await self._session.get(url, headers=headers)
        async with response:
            await _check(response)
            yield response

    @asynccontextmanager
    async def _post(
        self,
        path: str,
        body: dict[str, Any],
        call: EngineCall,
        timeout_s: float,
        head_only: bool = False,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Post a request; with ``head_only`` the time limit ends with the headers."""
        headers = {"X-Request-Id": call.engine_request_id}
        async with _translate_errors(), asyncio.timeout(timeout_s) as deadline:
            async with self._session.post(
                self._url + path, json=body, headers=headers
            ) as response:
                await _check(response)
                if head_only:
                    deadline.reschedule(None)
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
async def _translate_errors() -> AsyncIterator[None]:
    """Convert errors of the HTTP client to `EngineError`."""
    try:
        yield
    except aiohttp.ClientConnectorError as error:
        raise EngineError(f"engine not reached: {error!r}", started=False) from error
    except (*CALL_ERRORS, ValueError) as error:
        raise StreamBrokenError(f"engine connection broke: {error!r}") from error


async def _check(response: aiohttp.ClientResponse) -> None:
    if response.status == 200:
        return
    text = (await response.text())[:200]
    error = ERROR_BY_STATUS.get(response.status, EngineError)
    raise error(f"engine answered {response.status}: {text}")
