"""Client of the callers' interface: looks up hosts and sends requests."""

from __future__ import annotations

import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import aiohttp


@dataclass(slots=True)
class Reply:
    """What a caller received.

    Parameters
    ----------
    complete : bool
        Whether the whole answer arrived: the `[DONE]` event of a stream, or a body
        with status 200.
    outcome : str
        `answered`, `not_run` or `may_have_run`; "" if the connection failed or
        timed out, or if a stream ended without `[DONE]`.
    token_times : list of float
        Seconds from sending the request to each chunk of text.
    error : str
        Message of an error of the host, or text of the error that ended the connection.
    began : float
        Time of sending, in seconds of the monotonic clock.
    ended_at : float
        Time at which the reply ended, in seconds of the wall clock, as in the record
        entries of the stand-ins.
    """

    status: int = 0
    began: float = 0.0
    request_id: str = ""
    host: str = ""
    text: str = ""
    complete: bool = False
    outcome: str = ""
    code: str = ""
    error: str = ""
    retry_after_s: float = 0.0
    body: Any = None
    last_event_id: int = -1
    token_times: list[float] = field(default_factory=list)
    elapsed_s: float = 0.0
    ended_at: float = 0.0


class Caller:
    """Sends requests as one workspace."""

    def __init__(self, session: aiohttp.ClientSession, key: str) -> None:
        self._session = session
        self._key = key

    async def hosts(self, address: str, zone: str = "") -> list[dict[str, str]]:
        """Return the hosts that the host at `address` lists to callers in a zone."""
        params = {"zone": zone} if zone else {}
        url = f"http://{address}/v1/hosts"
        async with self._session.get(url, params=params) as response:
            body = await response.json()
        return list(body["hosts"])

    async def complete(
        self,
        address: str,
        model: str,
        prompt: str,
        max_tokens: int,
        request_id: str | None = None,
        stream: bool = True,
        headers: dict[str, str] | None = None,
        on_chunk: Any = None,
    ) -> Reply:
        """Send a completion; `on_chunk(reply)` is awaited for each chunk."""
        body = {
            "model": model,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": stream,
        }

        async def read(response: aiohttp.ClientResponse, reply: Reply) -> None:
            reply.request_id = response.headers.get("X-Request-Id", "")
            if stream and response.status == 200:
                await _read_stream(response, reply, on_chunk)
            else:
                _read_body(await response.json(), response, reply)

        url = f"http://{address}/v1/completions"
        return await self._post(url, body, request_id, read, headers)

    async def call_service(
        self, address: str, service: str, body: Any, request_id: str | None = None
    ) -> Reply:
        """Call a plain service."""

        async def read(response: aiohttp.ClientResponse, reply: Reply) -> None:
            _read_body(await response.json(), response, reply)

        url = f"http://{address}/v1/services/{service}/deliver"
        return await self._post(url, body, request_id, read)

    async def _post(
        self,
        url: str,
        body: Any,
        request_id: str | None,
        read: Callable[[aiohttp.ClientResponse, Reply], Awaitable[None]],
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Send a request; if the connection fails or times out, it has no outcome."""
        reply = Reply(request_id=request_id or "", began=time.monotonic())
        try:
            async with self._session.post(
                url, json=body, headers=self._headers(request_id, headers)
            ) as response:
                reply.status = response.status
                await read(response, reply)
        except (aiohttp.ClientError, ConnectionError, TimeoutError) as error:
            reply.error = repr(error)
        reply.elapsed_s = time.monotonic() - reply.began
        reply.ended_at = time.time()
        return reply

    def _headers(
        self, request_id: str | None, extra: dict[str, str] | None
    ) -> dict[str, str]:
        headers = {"Authorization": f"Bearer {self._key}", **(extra or {})}
        if request_id is not None:
            headers["X-Request-Id"] = request_id
        return headers


async def _read_stream(
    response: aiohttp.ClientResponse, reply: Reply, on_chunk: Any
) -> None:
    event = ""
    async for raw in response.content:
        line = raw.decode().rstrip("\r\n")
        if line.startswith("event:"):
            event = line[6:].strip()
        if line.startswith("id:"):
            reply.last_event_id = int(line[3:])
        if not line.startswith("data:"):
            continue
        data = line[5:].strip()
        if data == "[DONE]":
            reply.complete = True
            reply.outcome = "answered"
            return
        body = json.loads(data)
        if event == "error":
            _read_error(body["error"], reply)
            return
        text = body["choices"][0]["text"]
        if text:
            reply.text += text
            reply.token_times.append(time.monotonic() - reply.began)
            if on_chunk is not None:
                await on_chunk(reply)


def _read_body(body: Any, response: aiohttp.ClientResponse, reply: Reply) -> None:
    reply.body = body
    reply.retry_after_s = float(response.headers.get("Retry-After-Ms", 0)) / 1000
    if isinstance(body, dict) and "error" in body:
        _read_error(body["error"], reply)
        return
    reply.outcome = response.headers.get("X-Siskinlever-Outcome", "")
    reply.complete = response.status == 200
    if isinstance(body, dict) and "choices" in body:
        reply.text = body["choices"][0]["text"]


def _read_error(error: dict[str, Any], reply: Reply) -> None:
    reply.outcome = error.get("outcome", "")
    reply.code = error["code"]
    reply.error = error.get("message", "")
