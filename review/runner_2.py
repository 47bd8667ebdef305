"""Stand-in for one runner, as a process of its own.

It writes what it received and ran to its standard output, one JSON object a line, with
times of the monotonic clock, which all processes of a machine share. A request with the
part `--crash-part` in its prompt crashes the process when it begins to write an answer.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import secrets
import signal
import sys
import time
from dataclasses import dataclass

TOKENS_PER_EVENT = 7
PREFILL_TOKENS_PER_S = 33_333.0
# A decode engine reads a prompt at half the speed.
DIRECT_SHARE = 0.5
SWITCH_S = 6.0


@dataclass
class Request:
    """A request as it was received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def parts(self) -> list[str]:
        """Ids of the parts of the prompt."""
        text = self.headers.get("prompt-prefix", "")
        return [entry.partition(":")[0] for entry in text.split(",") if entry]

    @property
    def tokens(self) -> tuple[int, int]:
        """Tokens of the prompt, and the most tokens of output."""
        prompt, output = self.headers.get("token-usage", "0,0").split(",")
        return int(prompt), int(output)


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read a request; None if the connection ends before its head."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.split("\r\n")[:-2]
    method, target, _ = first.split(" ")
    headers = {n.lower(): v.strip() for n, _, v in (x.partition(":") for x in lines)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def encode_head(status: int, headers: dict[str, str]) -> bytes:
    """Return the head of an answer that closes its connection."""
    lines = [f"HTTP/1.1 {status} X", *(f"{n}: {v}" for n, v in headers.items())]
    return ("\r\n".join([*lines, "Connection: close"]) + "\r\n\r\n").encode("latin-1")


class Runner:
    """One process of a runner."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.stage: str | None = options.stage
        self.orders: list[dict[str, object]] = []
        self.highest_token = 0
        self.switching_until = 0.0
        self.handles: set[str] = set()
        self.holds: dict[str, int] = {}
        self.used_tokens = 0
        self.active = 0
        # Streams that have begun an event.
        self.writers: set[asyncio.StreamWriter] = set()

    def log(self, event: str, **fields: object) -> None:
        """Write a line about what happens."""
        line = {"at": time.monotonic(), "event": event, "runner": self.options.name}
        sys.stdout.write(json.dumps(line | fields) + "\n")
        sys.stdout.flush()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        try:
            request = await read_request(reader)
            if request is not None:
                await self._answer(request, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        expected = request.headers.get("expected-instance")
        if expected not in (None, self.options.name):
            await self._send(writer, 421, {"Instance-Id": self.options.name}, b"")
            return
        path = request.target.partition("?")[0]
        call = (request.method, "/" + path.split("/")[1])
        if call in CALLS:
            status, body = CALLS[call](self, request)
            await self._send(writer, status, {}, json.dumps(body).encode())
            return
        attempt = request.headers.get("attempt-id", "")
        self.log(
            "arrival",
            attempt=attempt,
            target=request.target,
            parts=request.parts,
            stage=request.headers.get("serving-stage", ""),
        )
        own = {"Attempt-Id": attempt}
        is_prefill = request.headers.get("serving-stage") == "prefill"
        is_wrong_stage = self.stage is not None and is_prefill != (
            self.stage == "prefill"
        )
        if time.monotonic() < self.switching_until:
            await self._send(writer, 503, own | {"Not-Executed": "1"}, b"")
        elif is_wrong_stage:
            await self._send(writer, 421, own | {"Not-Executed": "1"}, b"")
        elif self.stage is None:
            await self._run_plain(request, writer, own)
        elif is_prefill:
            await self._prefill(request, writer, own)
        else:
            await self._decode(request, reader, writer, own)

    async def _run_plain(
        self, request: Request, writer: asyncio.StreamWriter, own: dict[str, str]
    ) -> None:
        self.log("run", attempt=own["Attempt-Id"])
        await asyncio.sleep(0.02)
        await self._send(writer, 200, own | self._signature(own), b"x" * 800)
        self.log("done", attempt=own["Attempt-Id"])

    async def _prefill(
        self, request: Request, writer: asyncio.StreamWriter, own: dict[str, str]
    ) -> None:
        prompt, _ = request.tokens
        await asyncio.sleep(prompt / PREFILL_TOKENS_PER_S)
        handle = secrets.token_hex(6)
        self.handles.add(handle)
        answer = {"kv_handle": handle, "tokens": prompt, "version": 1}
        await self._send(writer, 200, own, json.dumps(answer).encode())

    async def _decode(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        own: dict[str, str],
    ) -> None:
        prompt, output = request.tokens
        self.holds.pop(request.headers.get("kv-hold", ""), None)
        source = request.headers.get("kv-source", "")
        if source:
            if not await take_handle(source):
                await self._send(writer, 503, own | {"Not-Executed": "1"}, b"")
                return
            await asyncio.sleep(0.01)
        else:
            await asyncio.sleep(prompt / PREFILL_TOKENS_PER_S / DIRECT_SHARE)
        self.active += 1
        self.used_tokens += prompt + output
        try:
            await self._stream(request, reader, writer, own)
        finally:
            self.active -= 1
            self.used_tokens -= prompt + output
            self.writers.discard(writer)

    async def _stream(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        own: dict[str, str],
    ) -> None:
        attempt, output = own["Attempt-Id"], request.tokens[1]
        first = int(request.headers.get("last-event-id") or 0) + 1
        crashes = self.options.crash_part in request.parts
        self.log("run", attempt=attempt, parts=request.parts)
        if crashes and self.options.crash_when == "before-head":
            self._crash(attempt)
        event_s = self.options.step_s * TOKENS_PER_EVENT
        has_chunks = self.options.framing == "chunks"
        head = own | self._signature(own) | {"Content-Type": "text/event-stream"}
        if has_chunks:
            head["Transfer-Encoding"] = "chunked"
        writer.write(encode_head(200, head))
        await writer.drain()
        gone = asyncio.ensure_future(reader.read(1))
        try:
            if crashes:
                await asyncio.sleep(self.options.step_s)
                self._crash(attempt)
            for number in range(first, output // TOKENS_PER_EVENT + 1):
                text = f"token-{number}".ljust(self.options.event_bytes, ".")
                lines = [f"id: {number}\n", f"data: {text}\n\n"]
                if self.options.whole_events:
                    lines = ["".join(lines)]
                # Otherwise the lines of an event are written one after the other.
                for line in lines:
                    data = line.encode()
                    if has_chunks:
                        data = f"{len(data):x}\r\n".encode() + data + b"\r\n"
                    writer.write(data)
                    await writer.drain()
                    await asyncio.sleep(event_s / len(lines))
                if gone.done():
                    self.log("gone", attempt=attempt)
                    return
            if has_chunks:
                writer.write(b"0\r\n\r\n")
                await writer.drain()
            self.log("done", attempt=attempt)
        finally:
            gone.cancel()

    def _crash(self, attempt: str) -> None:
        self.log("crash", attempt=attempt)
        os.kill(os.getpid(), signal.SIGKILL)

    def _signature(self, own: dict[str, str]) -> dict[str, str]:
        return {
            "Server-Signature": f"{self.options.name}.{own['Attempt-Id']}",
            "Instance-Load": f"{self.active},0,{self.options.slots}",
        }

    async def _send(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        length = {"Content-Length": str(len(body))}
        writer.write(encode_head(status, headers | length) + body)
        await writer.drain()

    def report(self, request: Request) -> tuple[int, dict[str, object]]:
        """Answer a request for the load report."""
        return 200, {
            "stage": self.stage,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": time.monotonic() < self.switching_until,
            "sequence": len(self.orders),
            "queued": 0,
            "active": self.active,
            "kv_used": self.used_tokens,
            "kv_total": self.options.kv_tokens,
            "kv_handles": len(self.handles),
            "held": sum(self.holds.values()),
            "born": self.options.born,
        }

    def take_hold(self, request: Request) -> tuple[int, dict[str, object]]:
        """Reserve memory for a number of tokens."""
        tokens = json.loads(request.body)["tokens"]
        used = self.used_tokens + sum(self.holds.values())
        if self.stage != "decode" or used + tokens > self.options.kv_tokens:
            return 503, {}
        hold = secrets.token_hex(6)
        self.holds[hold] = tokens
        return 200, {"hold": hold}

    def drop_hold(self, request: Request) -> tuple[int, dict[str, object]]:
        """Release a reservation."""
        self.holds.pop(request.target.rpartition("/")[2], None)
        return 200, {}

    def free_handle(self, request: Request) -> tuple[int, dict[str, object]]:
        """Free the memory of a prompt; also how a decode engine takes it."""
        handle = request.target.rpartition("/")[2]
        if handle not in self.handles:
            return 404, {}
        self.handles.discard(handle)
        return 200, {}

    def order(self, request: Request) -> tuple[int, dict[str, object]]:
        """Carry out an order that changes the stage."""
        order = json.loads(request.body)
        self.log("order", token=order["fencing_token"], owner=order["owner"])
        if order["fencing_token"] < self.highest_token:
            return 412, {}
        self.highest_token = order["fencing_token"]
        expected = order.get("precondition", len(self.orders))
        if time.monotonic() < self.switching_until or expected != len(self.orders):
            return 409, {}
        self.orders.append(order)
        self.stage = order["stage"]
        self.switching_until = time.monotonic() + SWITCH_S
        self.log("stage", stage=self.stage)
        return 202, {}


CALLS = {
    ("GET", "/report"): Runner.report,
    ("POST", "/hold-take"): Runner.take_hold,
    ("DELETE", "/hold-drop"): Runner.drop_hold,
    ("DELETE", "/kv-handle"): Runner.free_handle,
    ("POST", "/order"): Runner.order,
}


async def take_handle(source: str) -> bool:
    """Fetch the memory of a prompt from the engine that has read it."""
    address, _, handle = source.partition("/")
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f"DELETE /kv-handle/{handle} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode()
        )
        answer = await reader.read()
        writer.close()
    except OSError:
        return False
    return answer.startswith(b"HTTP/1.1 200")


async def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--address", required=True)
    parser.add_argument("--stage")
    parser.add_argument("--born", type=int, default=0)
    parser.add_argument("--slots", type=int, default=48)
    parser.add_argument("--kv-tokens", type=int, default=42_411)
    parser.add_argument("--step-s", type=float, default=0.008)
    parser.add_argument("--whole-events", action="store_true")
    parser.add_argument("--event-bytes", type=int, default=0)
    parser.add_argument("--framing", choices=("chunks", "connection"), default="chunks")
    parser.add_argument("--crash-part", default="-")
    parser.add_argument(
        "--crash-when", choices=("before-head", "after-head"), default="before-head"
    )
    runner = Runner(parser.parse_args())
    host, _, port = runner.options.address.rpartition(":")
    server = await asyncio.start_server(runner.serve, host, int(port), backlog=512)
    runner.log("start")
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
