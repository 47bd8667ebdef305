"""HTTP client for plain services."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass

import aiohttp
from multidict import CIMultiDict

from ..exceptions import ServiceCallError
from ..network.sessions import CALL_ERRORS

MAX_ANSWER_BYTES = 8 << 20
PROBE_TIMEOUT_S = 1.0
# Headers that are not passed on: those of one connection, those that the HTTP client
# sets itself, and the caller's key.
UNFORWARDED_HEADERS = frozenset(
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
# The router sets the request's id itself, and its client decompresses answers.
ROUTER_HEADERS = frozenset(
    {"accept-encoding", "content-encoding", "expect", "idempotency-key", "x-request-id"}
)


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """One call to a plain service; ``path`` may include a query."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    request_id: str


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """A service's answer, with the whole body."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class ServiceClient:
    """Calls the runners of plain services.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Must not reuse connections: a failed connect then proves that the call was not
        run, and no call gets the answer to an earlier one.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def call(
        self, address: str, call: ServiceCall, timeout_s: float
    ) -> ServiceAnswer:
        """Call a runner.

        Parameters
        ----------
        address : str
            IP address and port of the runner.
        call : ServiceCall
        timeout_s : float
            Seconds until the whole answer must have arrived.

        Raises
        ------
        ServiceCallError
            Its ``started`` is False if the runner was not reached.
        """
        headers = _end_to_end_headers(call.headers)
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
                    body = await _read(response)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise ServiceCallError(
                f"service not reached: {error!r}", started=False
            ) from error
        except CALL_ERRORS as error:
            raise ServiceCallError(f"service call broke: {error!r}") from error
        return ServiceAnswer(
            response.status, _end_to_end_headers(response.headers), body
        )

    async def leaving(self, address: str) -> bool:
        """Return whether a runner's health route reports that it is leaving.

        Any answer other than a JSON object with ``"leaving": true`` counts as not
        leaving.

        Raises
        ------
        ServiceCallError
            The health route did not answer.
        """
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                async with self._session.get(f"http://{address}/health") as response:
                    body = await response.json(content_type=None)
        except ValueError:
            return False
        except CALL_ERRORS as error:
            raise ServiceCallError(f"health check failed: {error!r}") from error
        return isinstance(body, dict) and body.get("leaving") is True


def _end_to_end_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the headers that are passed on, including repeated ones."""
    dropped = UNFORWARDED_HEADERS | ROUTER_HEADERS
    return CIMultiDict(
        (name, value) for name, value in headers.items() if name.lower() not in dropped
    )


async def _read(response: aiohttp.ClientResponse) -> bytes:
    """Read a whole body; raises `ServiceCallError` beyond `MAX_ANSWER_BYTES`."""
    pieces = bytearray()
    async for piece in response.content.iter_any():
        pieces += piece
        if len(pieces) > MAX_ANSWER_BYTES:
            raise ServiceCallError("the service's answer is too large")
    return bytes(pieces)
