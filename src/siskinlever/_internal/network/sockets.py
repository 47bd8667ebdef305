"""Socket options that reveal connections which fell silent."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from typing import Any

USER_TIMEOUT_MS = 3000
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
# The kernel's number of the state of a connection that is gone in both directions.
TCP_STATE_CLOSED = 7


def enable_keepalive(sock: socket.socket) -> None:
    """Make the kernel drop a connection whose far end acknowledges nothing."""
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
    """Tell whether a connection whose end was read was reset.

    The event loop may report the end of the data where the far end has reset
    the connection; the socket knows better.
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


def keep_reading(transport: Any) -> None:
    """Read on, so that a caller's close is seen while its request is served.

    Sanic pauses a connection that fills its buffer and reads on only for the
    next request, so after a long body a close would go unseen.
    """
    if transport is not None:
        transport.resume_reading()


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:port``; an IPv6 number stands in brackets."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
