"""Demonstration with stand-ins for the users' platform: one of three hosts is shut
down and one is killed.
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from pathlib import Path

from .platform_fleet import HOST, Answer, PlatformFleet, platform_fleet, send_raw

HOSTS = 3
GENERATION_HEADERS = {"Model": "m", "Token-Usage": "900,700", "Length-Hint": "700"}
WAIT_S = 6.0
POLL_S = 0.05


async def run(argv: list[str]) -> int:
    """Run the demonstration; return 0 if all checks passed, else 1."""
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory() as directory:
        async with platform_fleet(Path(directory), HOSTS) as fleet:
            failures = await _run_checks(fleet)
    elapsed_s = time.monotonic() - started_at
    print(f"done in {elapsed_s:.1f} s, wrong outcomes: {len(failures)}")
    for line in failures:
        print(f"  {line}")
    return 1 if failures else 0


async def _run_checks(fleet: PlatformFleet) -> list[str]:
    failures = []

    def check(passed: bool, description: str) -> None:
        print(f"{'ok   ' if passed else 'WRONG'} {description}", flush=True)
        if not passed:
            failures.append(description)

    check(
        await _wait_until_listed(fleet, HOSTS),
        f"the first host lists all {HOSTS} hosts to callers",
    )
    answer = await _send(fleet, 0, "/once/x", "d-1")
    check(answer.status == 200, "a non-idempotent request is answered")
    stream = await _send(fleet, 1, "/stream/x", "d-2", GENERATION_HEADERS)
    prefilled = bool(fleet.runners[2].received)
    check(
        stream.complete and prefilled,
        "a stream is prefilled and decoded on separate engines",
    )
    stream_in_progress = asyncio.create_task(
        _send(fleet, 2, "/stream/x", "d-3", GENERATION_HEADERS)
    )
    await asyncio.sleep(0.3)
    fleet.hosts[2].leave()
    no_longer_listed = await _wait_until_listed(fleet, HOSTS - 1)
    check(no_longer_listed, "a host that is shutting down is no longer listed")
    check(
        (await stream_in_progress).complete,
        "a stream in progress on that host is completed",
    )
    check(
        await fleet.hosts[2].ended(WAIT_S) == 0, "the stopped host exits with status 0"
    )
    fleet.hosts[1].kill()
    check(await _wait_until_listed(fleet, 1), "a killed host is no longer listed")
    answer = await _send(fleet, 0, "/safe/x", "d-4")
    check(answer.status == 200, "the last host answers a request")
    return failures


async def _send(
    fleet: PlatformFleet,
    host: int,
    path: str,
    attempt_id: str,
    headers: dict[str, str] | None = None,
) -> Answer:
    all_headers = {"Host": HOST, "Attempt-Id": attempt_id, "Content-Length": "2"}
    all_headers |= headers or {}
    return await send_raw(fleet.address(host), "POST", path, all_headers, b"hi")


async def _wait_until_listed(fleet: PlatformFleet, count: int) -> bool:
    """Wait until the first host is ready and lists `count` hosts.

    Returns False if that takes longer than `WAIT_S` seconds.
    """
    ends_at = time.monotonic() + WAIT_S
    while time.monotonic() < ends_at:
        if len(await fleet.lookup(0)) == count and await fleet.is_ready(0):
            return True
        await asyncio.sleep(POLL_S)
    return False
