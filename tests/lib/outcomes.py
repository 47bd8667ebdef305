"""Driver for a fleet under test, with the engines' records as the oracle."""

from __future__ import annotations

import asyncio
import inspect
import time
from collections.abc import Callable, Iterator
from contextlib import AsyncExitStack, contextmanager, suppress
from pathlib import Path
from typing import Any

from siskinlever._internal.utils.digests import content_digest
from siskinlever._internal.utils.rendezvous import primary_and_backup, ranked
from siskinlever_testbed.client import Caller, Reply
from siskinlever_testbed.fleet import Fleet, caller_key, running_fleet
from siskinlever_testbed.plans import ATELIER_ZONES, EnginePlan, FleetPlan
from siskinlever_testbed.standins.answers import answer_text

POOL = "critique-models"
WORKSPACE = "atelier"
MODEL = "itinerary-draft"
TOKENS = 60
BRIEF_FIRST_TOKEN_S = 2.0
POLL_S = 0.05
# Maps the fact that a resource was taken (a running prefill, an exported KV cache,
# a decode slot) to the facts that it was released.
RELEASES_BY_FACT = {
    "prefill_started": {"prefilled", "prefill_cancelled"},
    "prefilled": {"transferred", "discarded", "evicted"},
    "held": {"released"},
}

PLAN = FleetPlan(
    hosts=8,
    zones=ATELIER_ZONES,
    engines=(EnginePlan(POOL, prefill=2, decode=3, slots=4, retention_s=30.0),),
    models=(
        {
            "name": "brief-review",
            "pool": POOL,
            "first_token_s": BRIEF_FIRST_TOKEN_S,
        },
        {"name": MODEL, "pool": POOL, "urgency": "deferrable"},
    ),
)


class FleetDriver:
    """Runs the coroutines of test steps against one fleet."""

    def __init__(self, runner: asyncio.Runner, fleet: Fleet) -> None:
        self.run = runner.run
        self.fleet = fleet
        self.caller = Caller(fleet.session, caller_key(WORKSPACE))
        self.task_by_id: dict[str, asyncio.Task[Reply]] = {}
        self.reply_by_id: dict[str, Reply] = {}
        self.prompt_by_id: dict[str, str] = {}

    def zone_by_host(self) -> dict[str, str]:
        return {p.name: p.zone for p in self.fleet.endpoints_by_host.values()}

    def home_and_backup(self, request_id: str) -> tuple[str, str]:
        key = f"request/{WORKSPACE}/{request_id}"
        home, backup = primary_and_backup(key, self.zone_by_host())
        assert home and backup
        return home, backup

    def admission_home(self) -> str:
        return ranked(f"pool/{POOL}", self.zone_by_host())[0]

    def unrelated_host(self, *request_ids: str, avoid: tuple[str, ...] = ()) -> str:
        """Return a host that has no part in the requests.

        Their homes and backups, the pool's admission home and ``avoid`` are excluded.
        """
        excluded = {h for r in request_ids for h in self.home_and_backup(r)}
        excluded |= {self.admission_home(), *avoid}
        return next(
            name for name in sorted(self.zone_by_host()) if name not in excluded
        )

    def send(self, request_id: str, host: str, **options: Any) -> asyncio.Task[Reply]:
        """Start a request; ``reply_by_id`` holds the part received so far."""
        prompt = options.pop("prompt", f"Summarise itinerary {request_id}.")
        self.prompt_by_id[request_id] = prompt
        partial = Reply()

        async def store_partial(reply: Reply) -> None:
            partial.text = reply.text
            partial.last_event_id = reply.last_event_id

        async def call() -> Reply:
            return await self.caller.complete(
                self.fleet.endpoints_by_host[host].callers,
                options.pop("model", MODEL),
                prompt,
                options.pop("tokens", TOKENS),
                request_id,
                on_chunk=store_partial,
                **options,
            )

        async def start() -> asyncio.Task[Reply]:
            return asyncio.create_task(call())

        self.task_by_id[request_id] = self.run(start())
        self.reply_by_id[request_id] = partial
        return self.task_by_id[request_id]

    def wait_until(
        self,
        condition: Callable[[], Any],
        timeout_s: float,
        description: str,
        details: Callable[[], Any] = lambda: "",
    ) -> None:
        """Poll until the condition is true; fail after ``timeout_s`` seconds.

        The message of the failure contains what ``details`` returns then.
        """

        async def poll() -> None:
            deadline = time.monotonic() + timeout_s
            while True:
                value = condition()
                if await value if inspect.isawaitable(value) else value:
                    return
                assert time.monotonic() < deadline, (
                    f"not within {timeout_s} s: {description}; {details()}; ended: "
                    f"{self._ended_requests()}"
                )
                await asyncio.sleep(POLL_S)

        self.run(poll())

    def _ended_requests(self) -> dict[str, str]:
        """Return the reply or exception of each request that has ended, as text."""
        done = {i: task for i, task in self.task_by_id.items() if task.done()}
        return {
            i: "cancelled"
            if task.cancelled()
            else str(task.exception() or task.result())
            for i, task in done.items()
        }

    def wait_reply(self, task: asyncio.Task[Reply], timeout_s: float = 30.0) -> Reply:
        async def join() -> Reply:
            return await asyncio.wait_for(asyncio.shield(task), timeout_s)

        return self.run(join())

    def disconnect_caller(self, request_id: str) -> None:
        async def cancel() -> None:
            task = self.task_by_id[request_id]
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task

        self.run(cancel())

    def facts(self, request_id: str) -> list[dict[str, Any]]:
        """Return the facts that the engines recorded for a request."""
        digest = content_digest(f"{WORKSPACE}/{request_id}".encode())[:16]
        return [
            fact
            for fact in self.fleet.records(POOL)
            if digest in fact.get("request_id", "")
        ]

    def count_facts(self, request_id: str, fact: str) -> int:
        return sum(f["fact"] == fact for f in self.facts(request_id))

    def held_resources(self, request_id: str) -> list[tuple[str, str]]:
        """Return the resources that engines still hold for a request.

        Each is a pair of runner name and fact, taken from the engines' records.
        """
        facts = self.facts(request_id)
        return [
            (f["runner"], f["fact"])
            for f in facts
            if f["fact"] in RELEASES_BY_FACT
            and f["at"] > self._process_started_at(f["runner"])
            and not any(
                release["request_id"] == f["request_id"]
                and release["runner"] == f["runner"]
                and release["fact"] in RELEASES_BY_FACT[f["fact"]]
                for release in facts
            )
        ]

    def _process_started_at(self, runner: str) -> float:
        """Return the start time of a runner's process, or infinity if it has ended.

        Memory is freed with the process, so earlier facts no longer count.
        """
        if self.fleet.process_by_name[runner].returncode is not None:
            return float("inf")
        starts = [f["at"] for f in self.fleet.record(runner) if f["fact"] == "started"]
        return float(starts[-1])

    def expected_answer(self, request_id: str, tokens: int = TOKENS) -> str:
        return answer_text(self.prompt_by_id[request_id], tokens)

    def runners_with_role(self, role: str) -> list[str]:
        declared = self.fleet.runners_by_pool[POOL]
        return [r["name"] for r in declared if r["role"] == role]

    def decode_runner_of(self, request_id: str) -> str:
        held = [
            runner for runner, fact in self.held_resources(request_id) if fact == "held"
        ]
        assert len(held) == 1, held
        return held[0]

    def set_role_faults(self, role: str, **faults: Any) -> None:
        for name in self.runners_with_role(role):
            self.run(self.fleet.set_faults(name, **faults))

    def restore(self) -> None:
        """Undo all failures and wait until every host reports all hosts as alive."""
        processes = self.fleet.process_by_name
        ended = [p for p in processes.values() if p.returncode is not None]
        for process in processes.values():
            process.thaw()
        for process in ended:
            process.start()
            self.run(process.ready())
        for role in ("prefill", "decode"):
            self.set_role_faults(role)
        self.wait_until(self._all_alive, 20.0, "every host reports all hosts as alive")

    async def member_states(self, host: str) -> dict[str, str]:
        """Return the state of each host as reported by one host.

        Empty if the host does not answer. A host that was frozen resets connections
        whose keep-alive time has passed.
        """
        status = await self.fleet.status(host)
        members = status["members"] if status is not None else []
        return {member["host"]: member["state"] for member in members}

    async def _all_alive(self) -> bool:
        expected = dict.fromkeys(self.zone_by_host(), "alive")
        return all([await self.member_states(host) == expected for host in expected])


@contextmanager
def running_driver(directory: Path, plan: FleetPlan = PLAN) -> Iterator[FleetDriver]:
    """Run a fleet with its declaration applied for the duration of the block."""
    with asyncio.Runner() as runner:
        stack = AsyncExitStack()
        fleet = runner.run(stack.enter_async_context(running_fleet(plan, directory)))
        try:
            assert runner.run(fleet.apply()) == 0
            yield FleetDriver(runner, fleet)
        finally:
            runner.run(stack.aclose())
