"""Distinction between a reset and a regular end of a runner's answer."""

from __future__ import annotations

import asyncio
import socket
import struct
from unittest.mock import Mock

import h11
import pytest

from siskinlever._internal.exceptions import AnswerBrokenError, ConnectFailedError
from siskinlever._internal.network.connection import TcpConnection
from siskinlever._internal.network.http1_client import Call, _AnswerReader, exchange
from siskinlever._internal.network.sockets import was_reset

UNFRAMED = b"HTTP/1.1 200 OK\r\nServer-Signature: s\r\n\r\npart of a body"
# SO_LINGER with a time of 0 s: close() resets the connection.
LINGER_RESET = struct.pack("ii", 1, 0)


class Transport:
    """Fake asyncio transport that provides only its socket."""

    def __init__(self, sock) -> None:
        self._sock = sock

    def get_extra_info(self, name: str):
        return self._sock if name == "socket" else None


@pytest.fixture
def connected():
    listener = socket.create_server(("127.0.0.1", 0))
    near = socket.create_connection(listener.getsockname())
    far, _ = listener.accept()
    yield near, far
    for sock in (near, far, listener):
        sock.close()


def end(far, reset: bool) -> None:
    if reset:
        far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    far.close()


@pytest.mark.parametrize("reset", [False, True])
async def test_was_reset_distinguishes_reset_from_close(connected, reset):
    near, far = connected
    end(far, reset)
    await asyncio.sleep(0.05)
    assert was_reset(Transport(near)) is reset


@pytest.mark.parametrize("reset", [False, True])
async def test_answer_without_length_that_was_reset_is_not_complete(connected, reset):
    """The event loop may report the end of the data although there was a reset.

    An answer without a length ends with the connection, so a truncated one would
    then be taken for a complete one.
    """
    near, far = connected
    end(far, reset)
    await asyncio.sleep(0.05)
    stream = asyncio.StreamReader()
    stream.feed_data(UNFRAMED)
    stream.feed_eof()
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("Host", "h")]))
    parser.send(h11.EndOfMessage())
    connection = TcpConnection(stream, Mock(transport=Transport(near)))
    answer = _AnswerReader(parser, connection, b"GET")
    assert (await answer.head()).status == 200
    assert bytes((await answer.next_event()).data) == b"part of a body"
    if reset:
        with pytest.raises(AnswerBrokenError):
            await answer.next_event()
    else:
        assert isinstance(await answer.next_event(), h11.EndOfMessage)


async def test_connection_that_was_reset_before_the_call_sent_nothing():
    """uvloop then refuses the write; requests that may run once weren't sent again."""
    connection = Mock(spec=TcpConnection)
    connection.write.side_effect = RuntimeError("the handler is closed")
    with pytest.raises(ConnectFailedError):
        async with exchange(connection, Call(b"GET", b"/", [(b"Host", b"h")], b"")):
            pass
    connection.close.assert_called_once_with()
