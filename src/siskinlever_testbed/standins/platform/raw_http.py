"""Raw HTTP as the stand-ins of runners write and read it."""

from __future__ import annotations

import asyncio
import socket
import struct

from .runner_answers import RawAnswer, RawEnd, Request

# SO_LINGER with a timeout of 0: closing the socket resets the connection.
LINGER_ZERO = struct.pack("ii", 1, 0)


async def read_request(reader: asyncio.StreamReader, skip_body: bool) -> Request | None:
    """Read a request; None if the connection ends before its head."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    method, target, _ = first.split(" ")
    headers = [(n, v.strip()) for n, _, v in (line.partition(":") for line in lines)]
    request = Request(method, target, headers, b"")
    length = int(request.get("content-length") or "0")
    if not skip_body:
        request.body = await reader.readexactly(length)
    return request


def encode_head(status: int, headers: list[tuple[str, str]]) -> bytes:
    """Return the head of an answer that closes its connection."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers)]
    return ("\r\n".join([*lines, "Connection: close"]) + "\r\n\r\n").encode("latin-1")


async def send(
    writer: asyncio.StreamWriter,
    status: int,
    headers: list[tuple[str, str]],
    body: bytes,
) -> None:
    """Write an answer with its length."""
    length = [("Content-Length", str(len(body)))]
    writer.write(encode_head(status, headers + length) + body)
    await writer.drain()


async def play(
    raw: RawAnswer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Write the parts of a raw answer and end it as it says."""
    for part in raw.parts:
        writer.write(part)
        await writer.drain()
        await asyncio.sleep(raw.pause_s)
    if raw.end is RawEnd.RESET:
        reset(writer)
    elif raw.end is RawEnd.SILENCE:
        await reader.read(1)
    while raw.end is RawEnd.ENDLESS:
        writer.write(raw.parts[-1])
        await writer.drain()
        await asyncio.sleep(raw.pause_s)


def chunk(data: bytes) -> bytes:
    """Return data as one chunk."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    writer.transport.abort()
