"""The demonstration: a fleet of eight hosts serves real requests."""

from __future__ import annotations

import asyncio
import subprocess
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from .client import Caller, Reply
from .fleet import OPERATOR_KEY, Fleet, caller_key, running_fleet
from .plans import SMALL_PLAN
from .standins.answers import answer_text

HOUSE_STYLE = "Set titles in small capitals and keep margins generous. " * 60
DRAFT_WITHIN_S = 20.0
POLL_S = 0.2
SHOWN_PLACES = {
    "claimed": "claimed by {host}",
    "prefill_started": "prefill on {runner} by {host}",
    "decode_started": "decode on {runner}",
    "draft_stored": "stored by {host}",
}


@dataclass
class Outcomes:
    """What was wrong so far."""

    wrong: list[str] = field(default_factory=list)

    def check(self, right: bool, what: str) -> None:
        """Note an outcome."""
        if not right:
            self.wrong.append(what)


async def run(argv: list[str]) -> int:
    """Run the demonstration; return its exit code."""
    began = time.monotonic()
    outcomes = Outcomes()
    with tempfile.TemporaryDirectory() as directory:
        print("starting 8 hosts and their stand-ins ...", flush=True)
        async with running_fleet(SMALL_PLAN, Path(directory)) as fleet:
            await _show(fleet, outcomes)
            processes = list(fleet.process_by_name.values())
    left = [process.name for process in processes if process.returncode is None]
    outcomes.check(not left, f"left running: {left}")
    elapsed_s = time.monotonic() - began
    print(f"done in {elapsed_s:.1f} s, wrong outcomes: {len(outcomes.wrong)}")
    for line in outcomes.wrong:
        print(f"  {line}")
    return 1 if outcomes.wrong else 0


async def _show(fleet: Fleet, outcomes: Outcomes) -> None:
    applied = await _cli(fleet, "apply", str(fleet.write_declaration()))
    outcomes.check(applied == 0, "the declaration was not confirmed")
    caller = Caller(fleet.session, caller_key("atelier"))
    first = next(iter(fleet.place_by_host.values()))
    hosts = await caller.hosts(first.callers, zone="goodlands")
    print(f"lookup: {len(hosts)} hosts, using {hosts[0]['host']}", flush=True)
    outcomes.check(len(hosts) == SMALL_PLAN.hosts, f"lookup: {hosts}")
    await _draft(fleet, outcomes, hosts)
    await _completions(fleet, outcomes, caller, hosts[0]["address"])
    await _delivery(fleet, outcomes, caller, hosts[0]["address"])
    outcomes.check(await _cli(fleet, "status") == 0, "status failed")
    outcomes.check(await _cli(fleet, "timeline", "--last=15") == 0, "timeline failed")


async def _completions(
    fleet: Fleet, outcomes: Outcomes, caller: Caller, address: str
) -> None:
    for model, prompt, tokens in (
        ("brief-review", HOUSE_STYLE + "Review the brief of the ferry poster.", 60),
        ("lookup", "Which stock suits the beach resort flyer?", 20),
    ):
        reply = await caller.complete(address, model, prompt, tokens)
        right = reply.complete and reply.text == answer_text(prompt, tokens)
        outcomes.check(right, f"{model}: {reply}")
        _print(model, reply, await _places(fleet, reply.request_id))


async def _delivery(
    fleet: Fleet, outcomes: Outcomes, caller: Caller, address: str
) -> None:
    request_id, proof = "proof-17", {"proof": 17}
    reply = await caller.call_service(address, "client-portal", proof, request_id)
    runs = [
        fact["runner"]
        for fact in fleet.records("client-portal")
        if fact["fact"] == "ran" and fact["request_id"] == request_id
    ]
    outcomes.check(reply.outcome == "answered", f"client-portal: {reply}")
    outcomes.check(len(runs) == 1, f"client-portal ran on {runs}")
    places = await _places(fleet, request_id)
    _print("client-portal", reply, [*places, f"ran on {', '.join(runs)}"])
    again = await caller.call_service(address, "client-portal", proof, request_id)
    outcomes.check(again.outcome == "may_have_run", f"asked again: {again}")
    print(f"client-portal, the same id again: {again.outcome} ({again.code})")


async def _draft(fleet: Fleet, outcomes: Outcomes, hosts: list[dict[str, str]]) -> None:
    """Post a draft at one host and fetch its result at another."""
    prompt, tokens = HOUSE_STYLE + "Summarize the itinerary.", 80
    headers = {
        "Authorization": f"Bearer {caller_key('atelier')}",
        "Prefer": "respond-async",
    }
    body = {"model": "itinerary-draft", "prompt": prompt, "max_tokens": tokens}
    posted_at, fetched_at = hosts[0], hosts[1]
    began = time.monotonic()
    url = f"http://{posted_at['address']}/v1/completions"
    async with fleet.session.post(url, json=body, headers=headers) as response:
        outcomes.check(response.status == 202, f"draft: status {response.status}")
        location = response.headers.get("Location", "")
        request_id = response.headers.get("X-Request-Id", "")
    url = f"http://{fetched_at['address']}{location}"
    answer: dict[str, Any] = {}
    while not answer and time.monotonic() - began < DRAFT_WITHIN_S:
        await asyncio.sleep(POLL_S)
        async with fleet.session.get(url, headers=headers) as response:
            answer = await response.json() if response.status == 200 else {}
    text = answer["choices"][0]["text"] if answer else ""
    outcomes.check(text == answer_text(prompt, tokens), f"draft: {text[:80]!r}")
    print(
        f"itinerary-draft: posted at {posted_at['host']}, fetched at "
        f"{fetched_at['host']}, {len(text)} characters, "
        f"{time.monotonic() - began:.3f} s; "
        f"{'; '.join(await _places(fleet, request_id))}",
        flush=True,
    )


async def _places(fleet: Fleet, request_id: str) -> list[str]:
    """Tell from the time lines of all hosts where a request ran."""
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    events: list[dict[str, Any]] = []
    for address in fleet.operators:
        url = f"http://{address}/v1/timeline"
        async with fleet.session.get(url, headers=headers) as response:
            events += (await response.json())["events"]
    events.sort(key=lambda e: (e["stamp"]["wall_ms"], e["stamp"]["counter"]))
    return [
        SHOWN_PLACES[event["kind"]].format(host=event["host"], **event["fields"])
        for event in events
        # The run of a draft has an id of its own, after a tilde.
        if event["request_id"].partition("~")[0] == request_id
        and event["kind"] in SHOWN_PLACES
    ]


def _print(name: str, reply: Reply, places: list[str]) -> None:
    first = f"{reply.token_times[0]:.3f} s" if reply.token_times else "-"
    print(
        f"{name}: {reply.outcome or 'broken'}, first token {first}, "
        f"{len(reply.text)} characters, {reply.elapsed_s:.3f} s; {'; '.join(places)}",
        flush=True,
    )


async def _cli(fleet: Fleet, *arguments: str) -> int:
    print(f"$ siskinlever {' '.join(arguments)}", flush=True)
    command = fleet.cli_command(*arguments)
    process = await asyncio.create_subprocess_exec(*command, stderr=subprocess.STDOUT)
    return await process.wait()
