"""Demonstration: a fleet of eight hosts serves requests over HTTP."""

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
DRAFT_TIMEOUT_S = 20.0
POLL_S = 0.2
TEMPLATE_BY_EVENT = {
    "claimed": "claimed by {host}",
    "prefill_started": "prefill on {runner} by {host}",
    "decode_started": "decode on {runner}",
    "draft_stored": "stored by {host}",
}


@dataclass
class Checks:
    """Collects the messages of failed checks."""

    failures: list[str] = field(default_factory=list)

    def check(self, passed: bool, message: str) -> None:
        """Add the message if the check did not pass."""
        if not passed:
            self.failures.append(message)


async def run(argv: list[str]) -> int:
    """Run the demonstration and return its exit code, 1 if a check failed."""
    started_at = time.monotonic()
    checks = Checks()
    with tempfile.TemporaryDirectory() as directory:
        print("starting 8 hosts and their stand-ins ...", flush=True)
        async with running_fleet(SMALL_PLAN, Path(directory)) as fleet:
            await _run_requests(fleet, checks)
            processes = list(fleet.process_by_name.values())
    still_running = [
        process.name for process in processes if process.returncode is None
    ]
    checks.check(not still_running, f"left running: {still_running}")
    elapsed_s = time.monotonic() - started_at
    print(f"done in {elapsed_s:.1f} s, wrong outcomes: {len(checks.failures)}")
    for line in checks.failures:
        print(f"  {line}")
    return 1 if checks.failures else 0


async def _run_requests(fleet: Fleet, checks: Checks) -> None:
    applied = await _run_cli(fleet, "apply", str(fleet.write_declaration()))
    checks.check(applied == 0, "the declaration was not confirmed")
    caller = Caller(fleet.session, caller_key("atelier"))
    first = next(iter(fleet.endpoints_by_host.values()))
    hosts = await caller.hosts(first.callers, zone="goodlands")
    print(f"lookup: {len(hosts)} hosts, using {hosts[0]['host']}", flush=True)
    checks.check(len(hosts) == SMALL_PLAN.hosts, f"lookup: {hosts}")
    await _run_draft(fleet, checks, hosts)
    await _run_completions(fleet, checks, caller, hosts[0]["address"])
    await _run_delivery(fleet, checks, caller, hosts[0]["address"])
    checks.check(await _run_cli(fleet, "status") == 0, "status failed")
    checks.check(await _run_cli(fleet, "timeline", "--last=15") == 0, "timeline failed")


async def _run_completions(
    fleet: Fleet, checks: Checks, caller: Caller, address: str
) -> None:
    for model, prompt, tokens in (
        ("brief-review", HOUSE_STYLE + "Review the brief of the ferry poster.", 60),
        ("lookup", "Which stock suits the beach resort flyer?", 20),
    ):
        reply = await caller.complete(address, model, prompt, tokens)
        passed = reply.complete and reply.text == answer_text(prompt, tokens)
        checks.check(passed, f"{model}: {reply}")
        _print_reply(model, reply, await _event_summaries(fleet, reply.request_id))


async def _run_delivery(
    fleet: Fleet, checks: Checks, caller: Caller, address: str
) -> None:
    request_id, proof = "proof-17", {"proof": 17}
    reply = await caller.call_service(address, "client-portal", proof, request_id)
    runs = [
        entry["runner"]
        for entry in fleet.records("client-portal")
        if entry["fact"] == "ran" and entry["request_id"] == request_id
    ]
    checks.check(reply.outcome == "answered", f"client-portal: {reply}")
    checks.check(len(runs) == 1, f"client-portal ran on {runs}")
    summaries = await _event_summaries(fleet, request_id)
    _print_reply("client-portal", reply, [*summaries, f"ran on {', '.join(runs)}"])
    repeated = await caller.call_service(address, "client-portal", proof, request_id)
    checks.check(repeated.outcome == "may_have_run", f"repeated call: {repeated}")
    print(f"client-portal, the same id again: {repeated.outcome} ({repeated.code})")


async def _run_draft(fleet: Fleet, checks: Checks, hosts: list[dict[str, str]]) -> None:
    """Post a draft to one host and fetch its result from another."""
    prompt, tokens = HOUSE_STYLE + "Summarize the itinerary.", 80
    headers = {
        "Authorization": f"Bearer {caller_key('atelier')}",
        "Prefer": "respond-async",
    }
    body = {"model": "itinerary-draft", "prompt": prompt, "max_tokens": tokens}
    post_host, fetch_host = hosts[0], hosts[1]
    started_at = time.monotonic()
    url = f"http://{post_host['address']}/v1/completions"
    async with fleet.session.post(url, json=body, headers=headers) as response:
        checks.check(response.status == 202, f"draft: status {response.status}")
        location = response.headers.get("Location", "")
        request_id = response.headers.get("X-Request-Id", "")
    url = f"http://{fetch_host['address']}{location}"
    answer: dict[str, Any] = {}
    while not answer and time.monotonic() - started_at < DRAFT_TIMEOUT_S:
        await asyncio.sleep(POLL_S)
        async with fleet.session.get(url, headers=headers) as response:
            answer = await response.json() if response.status == 200 else {}
    text = answer["choices"][0]["text"] if answer else ""
    checks.check(text == answer_text(prompt, tokens), f"draft: {text[:80]!r}")
    print(
        f"itinerary-draft: posted at {post_host['host']}, fetched at "
        f"{fetch_host['host']}, {len(text)} characters, "
        f"{time.monotonic() - started_at:.3f} s; "
        f"{'; '.join(await _event_summaries(fleet, request_id))}",
        flush=True,
    )


async def _event_summaries(fleet: Fleet, request_id: str) -> list[str]:
    """Return descriptions of where a request ran, from the timelines of all hosts."""
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    events: list[dict[str, Any]] = []
    for address in fleet.operators:
        url = f"http://{address}/v1/timeline"
        async with fleet.session.get(url, headers=headers) as response:
            events += (await response.json())["events"]
    events.sort(key=lambda e: (e["stamp"]["wall_ms"], e["stamp"]["counter"]))
    return [
        TEMPLATE_BY_EVENT[event["kind"]].format(host=event["host"], **event["fields"])
        for event in events
        # The id of a draft's run is the request id, a tilde and a run id.
        if event["request_id"].partition("~")[0] == request_id
        and event["kind"] in TEMPLATE_BY_EVENT
    ]


def _print_reply(name: str, reply: Reply, summaries: list[str]) -> None:
    first = f"{reply.token_times[0]:.3f} s" if reply.token_times else "-"
    print(
        f"{name}: {reply.outcome or 'broken'}, first token {first}, "
        f"{len(reply.text)} characters, {reply.elapsed_s:.3f} s; "
        f"{'; '.join(summaries)}",
        flush=True,
    )


async def _run_cli(fleet: Fleet, *arguments: str) -> int:
    print(f"$ siskinlever {' '.join(arguments)}", flush=True)
    command = fleet.cli_command(*arguments)
    process = await asyncio.create_subprocess_exec(*command, stderr=subprocess.STDOUT)
    return await process.wait()
