"""Request handling for the readiness, lookup and metrics endpoints."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from ..exceptions import InvalidRequestError
from ..network.http1_client import Header
from ..network.http1_server import CallerConnection, ReceivedRequest

Answer = tuple[int, list[Header], bytes]
JSON_HEADERS: list[Header] = [(b"Content-Type", b"application/json")]
TEXT_HEADERS: list[Header] = [(b"Content-Type", b"text/plain; version=0.0.4")]


def connection_handler(
    answer_by_path: dict[str, Callable[[ReceivedRequest], Answer]],
) -> Callable[[CallerConnection], Awaitable[None]]:
    """Return a connection handler that dispatches requests by their path.

    Parameters
    ----------
    answer_by_path : dict of str to callable
        Each callable returns the status, headers and body for a request. Other
        paths are answered with status 404.
    """

    async def handle(connection: CallerConnection) -> None:
        while True:
            try:
                request = await connection.next_request()
            except InvalidRequestError as error:
                await connection.reject_request(error)
                return
            if request is None:
                return
            answer = answer_by_path.get(request.path)
            status, headers, body = answer(request) if answer else (404, [], b"")
            await connection.answer(status, headers, body)
            if not connection.is_reusable:
                return

    return handle
