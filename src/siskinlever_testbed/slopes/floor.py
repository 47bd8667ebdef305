"""Memory of an interpreter before and after it imports the libraries of a host."""

from __future__ import annotations

import asyncio
import os
import sys

from .usage import PAGE_BYTES, Cost

PRINT_RESIDENT = "print(open('/proc/self/statm').read().split()[1])"
LIBRARIES = "import uvloop, sanic, aiohttp, grpclib.server, google.protobuf.message"
MORE_LIBRARIES = "import expression, absl.logging, pydantic, hdrh.histogram, docopt"
OWN_CODE = "import siskinlever._internal.daemon.server"


async def measure() -> list[Cost]:
    """Measure the resident memory that every host needs before it does any work."""
    bare = await _resident_bytes("")
    libraries = await _resident_bytes(f"{LIBRARIES}; {MORE_LIBRARIES}")
    own = await _resident_bytes(OWN_CODE)
    how = "/proc/self/statm after the imports"
    return [
        Cost("memory.interpreter", bare / 1e6, "MB", how),
        Cost("memory.libraries", (libraries - bare) / 1e6, "MB", how),
        Cost("memory.own_code", (own - libraries) / 1e6, "MB", how),
    ]


async def _resident_bytes(code: str) -> int:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        f"{code}\n{PRINT_RESIDENT}",
        stdout=asyncio.subprocess.PIPE,
        env={**os.environ, "UV_USE_IO_URING": "0"},
    )
    output, _ = await process.communicate()
    return int(output) * PAGE_BYTES
