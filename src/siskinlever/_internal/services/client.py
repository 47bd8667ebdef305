"""Calls plain services over HTTP."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import aiohttp

from ..exceptions import ServiceCallError

MAX_ANSWER_BYTES = 8 << 20
HOP_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """One call to a plain service."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    request_id: str


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """A service's whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes


class ServiceClient:
    """Calls the runners of plain services.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Not pooled, so that a failed connect certainly means "not run".
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def call(
        self, address: str, call: ServiceCall, timeout_s: float
    ) -> ServiceAnswer:
        """Make a call; raises `ServiceCallError`."""
        headers = {
            name: value
            for name, value in call.headers.items()
            if name.lower() not in HOP_HEADERS
        }
        headers["X-Request-Id"] = call.request_id
        headers["Idempotency-Key"] = call.request_id
        try:
            async with asyncio.timeout(timeout_s):
                async with self._session.request(
                    call.method,
                    f"http://{address}/{call.path}",
                    headers=headers,
                    data=call.body,
                    allow_redirects=False,
                ) as response:
                    body = await response.content.read(MAX_ANSWER_BYTES + 1)
        except aiohttp.ClientConnectorError as error:
            raise ServiceCallError(
                f"service not reached: {error!r}", started=False
            ) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise ServiceCallError(f"service call broke: {error!r}") from error
        if len(body) > MAX_ANSWER_BYTES:
            raise ServiceCallError("the service's answer is too large")
        answered = {
            name: value
            for name, value in response.headers.items()
            if name.lower() not in HOP_HEADERS
        }
        return ServiceAnswer(response.status, answered, body)
