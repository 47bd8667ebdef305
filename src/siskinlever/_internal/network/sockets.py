"""Socket options that detect dead connections, and helpers for addresses."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress
from typing import Any

USER_TIMEOUT_MS = 3000
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
# Linux's TCP_CLOSE: the connection is closed in both directions.
TCP_STATE_CLOSED = 7
# SO_LINGER with a timeout of 0 s: closing the socket resets the connection.
LINGER_ZERO = struct.pack("ii", 1, 0)


def enable_keepalive(sock: socket.socket) -> None:
    """Make the kernel drop a connection whose peer has stopped responding.

    Such a peer acknowledges neither data nor, on an idle connection, keepalive
    probes.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def enable_transport_keepalive(transport: asyncio.BaseTransport | None) -> None:
    """Apply `enable_keepalive` to the socket of a transport, if it has one."""
    sock = transport.get_extra_info("socket") if transport else None
    if sock is None:
        return
    with suppress(OSError):
        enable_keepalive(sock)


def was_reset(transport: asyncio.BaseTransport) -> bool:
    """Return whether a connection that reported the end of its data was reset.

    The event loop may report the end of the data although the peer has reset the
    connection, so the state of the socket is checked. If the state cannot
    be read, the connection counts as reset.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return True
    try:
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except OSError:
        return True
    return bool(error) or state == TCP_STATE_CLOSED


def reset(transport: asyncio.BaseTransport) -> None:
    """Reset a connection, so that its peer doesn't see an orderly end.

    Data that has not been sent is dropped.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None:
        with suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    transport.abort()  # type: ignore[attr-defined]


def keep_reading(transport: Any) -> None:
    """Resume reading, so that a disconnect is detected while a request is served.

    Sanic pauses reading when a connection's buffer is full and resumes it only for
    the next request. After a long body a disconnect would not be noticed.
    """
    if transport is not None:
        transport.resume_reading()


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:port``; an IPv6 address is written in brackets."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
