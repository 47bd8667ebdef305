"""Connections to runners that a peer opens for this host.

The bytes of each connection are frames of one streaming call. The peer reads from the
runner only as fast as this host reads the frames.
"""

from __future__ import annotations

import asyncio
import ssl
from collections import defaultdict, deque
from collections.abc import AsyncIterator, Callable
from contextlib import suppress
from typing import Any

from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.exceptions import GRPCError, StreamTerminatedError

from ..exceptions import PeerError
from ..network.sockets import split_address
from . import peer_grpc, peer_pb2

FRAME_BYTES = 65_536
# Frames that have arrived and were not read; the peer sends no more meanwhile.
MAX_UNREAD_FRAMES = 2
# Bytes of one call, and of all on an HTTP/2 connection, that are sent ahead of their
# reader, so that relayed connections with slow readers keep little in memory.
FLOW_CONTROL = Configuration(
    http2_stream_window_size=FRAME_BYTES, http2_connection_window_size=16_777_216
)


class RelayRefusedError(PeerError):
    """Raised when a peer doesn't open a connection; nothing was sent to the runner."""


class RelayedConnection:
    """A connection to a runner that a peer opens, as `network.connection.Connection`.

    Parameters
    ----------
    channel : grpclib.client.Channel
    metadata : dict
    request : RelayOpen
    """

    def __init__(
        self, channel: Channel, metadata: dict[str, str], request: peer_pb2.RelayOpen
    ) -> None:
        self._channel = channel
        self._metadata = metadata
        self._request = request
        self._opened: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._unread: deque[bytes] = deque()
        self._unsent: deque[bytes] = deque()
        self._has_ended = False
        self._was_reset = False
        # Set whenever a frame has arrived, was read, is to be sent, or was sent.
        self._changed = asyncio.Event()
        # A task of its own, since grpclib cancels the task of a call when its
        # connection is closed.
        self._task = asyncio.create_task(self._run(), name="relayed-connection")

    def on_end(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when the call to the peer has ended."""
        self._task.add_done_callback(lambda _: listener())

    async def open(self, timeout_s: float) -> None:
        """Wait until the peer has opened the connection.

        Raises
        ------
        RelayRefusedError
            The peer has opened none.
        PeerError
            The peer did not answer in time; nothing was sent to the runner.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.shield(self._opened)
        except TimeoutError as error:
            self.abort()
            raise PeerError(f"no answer within {timeout_s:g} s") from error
        except BaseException:
            self.abort()
            raise

    async def read(self) -> bytes:
        """Return the next bytes, or none at the end."""
        while not self._unread and not self._has_ended:
            await self._wait_for_change()
        if not self._unread:
            return b""
        data = self._unread.popleft()
        self._changed.set()
        return data

    def at_eof(self) -> bool:
        """Return whether it has ended and all its bytes were read."""
        return self._has_ended and not self._unread

    def was_reset(self) -> bool:
        """Return whether it ended otherwise than by the runner's orderly close."""
        return self._was_reset

    def write(self, data: bytes) -> None:
        """Send bytes, without waiting."""
        self._unsent.extend(
            data[start : start + FRAME_BYTES]
            for start in range(0, len(data), FRAME_BYTES)
        )
        self._changed.set()

    async def drain(self) -> None:
        """Wait until the bytes written so far have been sent to the peer."""
        while self._unsent and not self._has_ended:
            await self._wait_for_change()

    def close(self) -> None:
        """End the call; the peer then closes its connection to the runner."""
        self._task.cancel()

    abort = close

    async def _wait_for_change(self) -> None:
        self._changed.clear()
        await self._changed.wait()

    async def _run(self) -> None:
        # A call that doesn't end with the runner's close counts as reset.
        self._was_reset = True
        try:
            stub = peer_grpc.PeerStub(self._channel)
            async with stub.Relay.open(metadata=self._metadata) as stream:
                await stream.send_message(peer_pb2.RelayFrame(open=self._request))
                await self._await_opened(stream)
                sending = asyncio.create_task(self._send_all(stream))
                try:
                    await self._receive_all(stream)
                finally:
                    sending.cancel()
                await stream.cancel()
        except (OSError, GRPCError, StreamTerminatedError, RuntimeError) as error:
            # uvloop raises RuntimeError for a write to a transport that was closed.
            self._fail(PeerError(f"relay: {error!r}"))
        except RelayRefusedError as error:
            self._fail(error)
        finally:
            self._fail(PeerError("the call to the peer was ended"))
            self._has_ended = True
            self._changed.set()

    def _fail(self, error: PeerError) -> None:
        if not self._opened.done():
            self._opened.set_exception(error)
            # Retrieved here, since nobody may be waiting any more.
            self._opened.exception()

    async def _await_opened(self, stream: Any) -> None:
        frame = await stream.recv_message()
        if frame is None:
            raise RelayRefusedError("the peer gave no answer")
        if not frame.opened.opened:
            raise RelayRefusedError(frame.opened.reason)
        if not self._opened.done():
            self._opened.set_result(None)

    async def _send_all(self, stream: Any) -> None:
        with suppress(OSError, StreamTerminatedError, RuntimeError):
            while True:
                while not self._unsent:
                    await self._wait_for_change()
                await stream.send_message(peer_pb2.RelayFrame(data=self._unsent[0]))
                self._unsent.popleft()
                self._changed.set()

    async def _receive_all(self, stream: Any) -> None:
        async for frame in _frames(stream):
            if frame.WhichOneof("kind") == "end":
                self._was_reset = frame.end.reset
                return
            self._unread.append(frame.data)
            self._changed.set()
            while len(self._unread) >= MAX_UNREAD_FRAMES:
                await self._wait_for_change()


class RelayChannel:
    """The HTTP/2 connection for relayed connections to one peer.

    Other calls use another one, which readers that are slow can't fill.

    Parameters
    ----------
    address : str
    key : str
        The key that all hosts share.
    tls : ssl.SSLContext or None
    """

    def __init__(self, address: str, key: str, tls: ssl.SSLContext | None) -> None:
        self._address = address
        self._metadata = {"authorization": f"Bearer {key}"}
        self._tls = tls
        self._channel: Channel | None = None
        self._connections_by_channel: defaultdict[Channel, int] = defaultdict(int)

    async def open(
        self, request: peer_pb2.RelayOpen, timeout_s: float
    ) -> RelayedConnection:
        """Let the peer open a connection; raises `PeerError`.

        An HTTP/2 connection on which the peer doesn't answer in time is replaced; the
        relayed connections that it carries go on.
        """
        if self._channel is None:
            host, port = split_address(self._address)
            self._channel = Channel(host, port, ssl=self._tls, config=FLOW_CONTROL)
        channel = self._channel
        connection = RelayedConnection(channel, self._metadata, request)
        self._connections_by_channel[channel] += 1
        connection.on_end(lambda: self._release(channel))
        try:
            await connection.open(timeout_s)
        except RelayRefusedError:
            raise
        except BaseException:
            # Also if the caller has given up.
            if self._channel is channel:
                self._channel = None
            raise
        return connection

    def _release(self, channel: Channel) -> None:
        self._connections_by_channel[channel] -= 1
        if not self._connections_by_channel[channel] and channel is not self._channel:
            del self._connections_by_channel[channel]
            channel.close()

    def close(self) -> None:
        """Close it with the relayed connections that it carries."""
        for channel in {self._channel, *self._connections_by_channel}:
            if channel is not None:
                channel.close()
        self._channel = None
        self._connections_by_channel.clear()


async def _frames(stream: Any) -> AsyncIterator[peer_pb2.RelayFrame]:
    while (frame := await stream.recv_message()) is not None:
        yield frame
