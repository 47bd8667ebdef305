"""The demonstration: a fleet of eight hosts serves real requests."""

from __future__ import annotations

import asyncio
import subprocess
import tempfile
import time
from pathlib import Path

from .client import Caller, Reply
from .fleet import Fleet, caller_key, running_fleet
from .plans import SMALL_PLAN
from .standins.answers import answer_text

HOUSE_STYLE = "Set titles in small capitals and keep margins generous. " * 60


async def run(argv: list[str]) -> int:
    """Run the demonstration; return its exit code."""
    began = time.monotonic()
    with tempfile.TemporaryDirectory() as directory:
        print("starting 8 hosts and their stand-ins ...", flush=True)
        async with running_fleet(SMALL_PLAN, Path(directory)) as fleet:
            wrong = await _show(fleet)
    print(f"done in {time.monotonic() - began:.1f} s, wrong outcomes: {len(wrong)}")
    for line in wrong:
        print(f"  {line}")
    return 1 if wrong else 0


async def _show(fleet: Fleet) -> list[str]:
    print("$ siskinlever apply", flush=True)
    wrong = []
    if await _cli(fleet, "apply", str(fleet.write_declaration())) != 0:
        wrong.append("the declaration was not confirmed")
    wrong += await _requests(fleet)
    print("$ siskinlever status", flush=True)
    await _cli(fleet, "status")
    print("$ siskinlever timeline", flush=True)
    await _cli(fleet, "timeline", "--last=15")
    return wrong


async def _requests(fleet: Fleet) -> list[str]:
    wrong = []
    caller = Caller(fleet.session, caller_key("atelier"))
    first = next(iter(fleet.place_by_host.values()))
    hosts = await caller.hosts(first.callers, zone="goodlands")
    address = hosts[0]["address"]
    print(f"lookup: {len(hosts)} hosts, using {hosts[0]['host']}", flush=True)
    for model, prompt, tokens in (
        ("brief-review", HOUSE_STYLE + "Review the brief of the ferry poster.", 60),
        ("lookup", "Which stock suits the beach resort flyer?", 20),
    ):
        reply = await caller.complete(address, model, prompt, tokens)
        right = reply.complete and reply.text == answer_text(prompt, tokens)
        _print(model, reply)
        if not right:
            wrong.append(f"{model}: {reply}")
    reply = await caller.call_service(address, "client-portal", {"proof": 17})
    _print("client-portal", reply)
    if reply.outcome != "answered":
        wrong.append(f"client-portal: {reply}")
    return wrong


def _print(name: str, reply: Reply) -> None:
    first = f"{reply.token_times[0]:.3f} s" if reply.token_times else "-"
    print(
        f"{name}: {reply.outcome or 'broken'}, first token {first}, "
        f"{len(reply.text)} characters, {reply.elapsed_s:.3f} s",
        flush=True,
    )


async def _cli(fleet: Fleet, *arguments: str) -> int:
    command = fleet.cli_command(*arguments)
    process = await asyncio.create_subprocess_exec(*command, stderr=subprocess.STDOUT)
    return await process.wait()
