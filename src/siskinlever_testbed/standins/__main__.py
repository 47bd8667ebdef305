"""Runs one stand-in as a process.

Usage:
  python -m siskinlever_testbed.standins <kind> [<args>...]
"""

from __future__ import annotations

import asyncio
import importlib
import os
import signal
import sys

# Must be set before the first event loop exists: uvloop would open an io_uring.
os.environ["UV_USE_IO_URING"] = "0"

import uvloop
from aiohttp import web
from docopt import docopt

MODULE_BY_KIND = {
    "engine": "engine",
    "host-list": "host_list",
    "key-value": "key_value",
    "service": "service",
}


async def serve(argv: list[str]) -> None:
    """Serve one stand-in until SIGTERM or SIGINT arrives."""
    module = importlib.import_module(f".{MODULE_BY_KIND[argv[0]]}", __package__)
    arguments = docopt(module.__doc__, argv=argv[1:])
    app, work = await module.start(arguments)
    background = asyncio.create_task(work) if work is not None else None
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    host, _, port = arguments["--address"].rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    await stop.wait()
    if background is not None:
        background.cancel()
    await runner.cleanup()


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as loop_runner:
        loop_runner.run(serve(sys.argv[1:]))
