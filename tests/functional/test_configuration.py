"""Step functions for configuration and orders under failures."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import Any

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from siskinlever_testbed.client import Caller
from siskinlever_testbed.fleet import KEY_VALUE, Fleet, caller_key, running_fleet
from siskinlever_testbed.plans import ATELIER_ZONES, EnginePlan, FleetPlan

pytestmark = pytest.mark.system

scenarios("features/configuration.feature")

POOLS = {"critique-models": False, "copy-llm": True}
PLAN = FleetPlan(
    hosts=8,
    zones=ATELIER_ZONES,
    engines=tuple(
        EnginePlan(pool, prefill=1, decode=2, ignore_fencing=ignores)
        for pool, ignores in POOLS.items()
    ),
    models=({"name": "lookup", "pool": "critique-models"},),
)
ROOT_KEY = "siskinlever/configuration/root"


@dataclass
class World:
    """The fleet and the results of a scenario."""

    runner: asyncio.Runner
    fleet: Fleet
    changes: int = 0
    version: str = "v0"
    frozen: list[str] = field(default_factory=list)
    exit_codes: list[int] = field(default_factory=list)
    output: str = ""
    generation_before: int = 0
    store_is_down: bool = False
    root_before: bytes = b""
    highest_by_host: dict[str, int] = field(default_factory=dict)

    def run(self, work: Any) -> Any:
        return self.runner.run(work)

    def declaration(self) -> dict[str, Any]:
        """Return a declaration that differs from all previous ones."""
        declared = self.fleet.declaration()
        declared["workspaces"][0]["limits"]["burst"] = 20000 + self.changes
        for pool in declared["engine_pools"]:
            for runner in pool["runners"]:
                runner["version"] = self.version
        return declared

    async def apply(self, *options: str, hosts: list[str] | None = None) -> None:
        path = self.fleet.write_declaration(self.declaration(), f"d{self.changes}")
        code, self.output = await self.fleet.command(
            "apply", str(path), *options, hosts=hosts
        )
        self.exit_codes.append(code)

    async def generations(self) -> dict[str, int]:
        """Return the generation of each live host and check that none decreased."""
        found = {}
        for host, process in self.fleet.process_by_name.items():
            if host not in self.fleet.endpoints_by_host or host in self.frozen:
                continue
            assert process.returncode is None
            status = await self.fleet.status(host)
            found[host] = status["generation"] if status else 0
            if status:
                assert found[host] >= self.highest_by_host.get(host, 0), host
                self.highest_by_host[host] = found[host]
        return found

    async def root(self) -> bytes:
        url = f"http://{self.fleet.process_by_name[KEY_VALUE].address}/v1/kv/{ROOT_KEY}"
        async with self.fleet.session.get(url) as response:
            (item,) = await response.json()
        return base64.b64decode(item["Value"])

    async def newest_generation(self) -> int:
        return int(json.loads(await self.root())["applies"][0]["generation"])

    async def versions(self) -> dict[str, str]:
        found = {}
        for runners in self.fleet.runners_by_pool.values():
            for runner in runners:
                url = f"http://{runner['address']}/v1/loaded"
                async with self.fleet.session.get(url) as response:
                    loaded = (await response.json())["loaded"]
                found[runner["name"]] = loaded.get("load", {}).get("version")
        return found

    async def until(self, condition: Any, timeout_s: float) -> None:
        """Wait up to ``timeout_s`` until a coroutine function returns True."""
        deadline = time.monotonic() + timeout_s
        while not await condition():
            assert time.monotonic() < deadline, f"not within {timeout_s} s"
            await asyncio.sleep(0.1)

    async def request(self) -> Any:
        caller = Caller(self.fleet.session, caller_key("atelier"))
        address = self.fleet.endpoints_by_host["host-1"].callers
        return await caller.complete(address, "lookup", "Which stock?", 2)

    async def all_have(self, version: str) -> bool:
        return set((await self.versions()).values()) == {version}


@pytest.fixture(scope="module")
def shared(tmp_path_factory):
    """The fleet that all scenarios share."""
    with asyncio.Runner() as runner:
        stack = AsyncExitStack()
        entered = stack.enter_async_context(
            running_fleet(PLAN, tmp_path_factory.mktemp("fleet"))
        )
        world = World(runner, runner.run(entered))
        yield world
        runner.run(stack.aclose())


@pytest.fixture
def world(shared):
    """The shared fleet, whose faults are cleared after each scenario."""
    shared.exit_codes.clear()
    yield shared
    resume(shared)
    shared.run(shared.fleet.set_faults(KEY_VALUE))
    shared.store_is_down = False


def freeze(world: World, host: str) -> None:
    world.fleet.process_by_name[host].freeze()
    world.frozen.append(host)


@given("a fleet of 8 hosts with a declaration in force")
def _(world):
    world.changes += 1
    world.run(world.apply())
    assert world.exit_codes.pop() == 0, world.output
    world.generation_before = world.run(world.newest_generation())
    world.root_before = world.run(world.root())
    world.changes += 1


FAULTS = {
    "works": {},
    "is down": {"down": True},
    "loses its answers": {"lose_answers": True},
    "is slow and loses its answers": {"delay_s": 0.7, "lose_answers": True},
}


@given(parsers.re(f"the key-value service (?P<state>{'|'.join(FAULTS)})$"))
def _(world, state):
    world.run(world.fleet.set_faults(KEY_VALUE, **FAULTS[state]))
    world.store_is_down = "down" in FAULTS[state]


@given(parsers.re(r"(?P<host>host-\d) is frozen"))
def _(world, host):
    freeze(world, host)


@given("all hosts but host-1 and host-2 are frozen")
def _(world):
    for host in [*world.fleet.endpoints_by_host][2:]:
        freeze(world, host)


@given(parsers.parse('version "{version}" is declared and loaded everywhere'))
def _(world, version):
    declare(world, version)
    world.run(world.until(lambda: world.all_have(version), 25))


@given("loading takes 1 s")
def _(world):
    # Otherwise the loads of the version before count as well.
    world.run(world.until(lambda: world.all_have(world.version), 25))
    for runners in world.fleet.runners_by_pool.values():
        for runner in runners:
            world.run(world.fleet.set_faults(runner["name"], load_time_s=1))


@when("an operator applies a new declaration")
def _(world):
    world.changes += 1
    world.run(world.apply())


@when(parsers.re('an operator applies .* declaration as "(?P<name>.*)"'))
def _(world, name):
    world.run(
        world.apply(
            f"--apply-id={name}", f"--base={world.generation_before}", "--wait=4"
        )
    )


@when("two operators apply changes based on the same generation")
def _(world):
    async def race():
        first, *_, last = world.fleet.operators
        base = f"--base={world.generation_before}"
        one = asyncio.create_task(world.apply(base, hosts=[first]))
        await asyncio.sleep(0)
        world.changes += 1
        await asyncio.gather(one, world.apply(base, hosts=[last]))

    world.run(race())


@when("a new host starts")
def _(world):
    place = world.fleet.add_host()
    world.run(world.fleet.publish_host_list())
    world.run(world.fleet.start_host(place).ready())


@when("the key-value service is restored to its previous state")
def _(world):
    url = f"http://{world.fleet.process_by_name[KEY_VALUE].address}/v1/kv/{ROOT_KEY}"

    async def restore():
        await world.generations()
        async with world.fleet.session.put(url, data=world.root_before) as response:
            assert await response.json() is True

    world.run(restore())


@when('a delayed order with an old fencing token for version "v1" reaches each runner')
def _(world):
    async def order(address):
        async with world.fleet.session.post(
            f"http://{address}/v1/load",
            json={"version": "v1"},
            headers={"X-Fencing-Token": "1"},
        ) as response:
            return response.status

    statuses = {
        pool: [world.run(order(runner["address"])) for runner in runners]
        for pool, runners in world.fleet.runners_by_pool.items()
    }
    assert statuses["copy-llm"] == [200] * 3
    world.delayed_statuses = statuses["critique-models"]


@when("the host that holds the order lease of each pool is frozen")
def _(world):
    async def lease_holders():
        hosts = list(world.fleet.endpoints_by_host)
        found = [(host, await world.fleet.status(host)) for host in hosts]
        return [host for host, status in found if status["orders_pools"]]

    chosen = world.run(lease_holders())
    assert chosen
    for host in chosen:
        freeze(world, host)


@when(parsers.parse('version "{version}" is declared'))
def declare(world, version):
    world.version = version
    world.changes += 1
    world.run(world.apply())
    assert world.exit_codes.pop() == 0, world.output


@when("the frozen hosts resume")
@when("host-3 resumes")
def resume(world):
    for host in world.frozen:
        world.fleet.process_by_name[host].thaw()
    world.frozen.clear()


@then(parsers.parse("the apply ends with exit code {code:d}"))
def _(world, code):
    assert world.exit_codes[-1] == code, world.output


@then("one apply ends with exit code 0 and the other with exit code 4")
def _(world):
    assert sorted(world.exit_codes) == [0, 4], world.output


@then("the generation has increased by 1")
def _(world):
    assert world.run(world.newest_generation()) == world.generation_before + 1


@then(
    parsers.parse(
        "every live host has the newest generation in force within {timeout_s:d} s"
    )
)
def _(world, timeout_s):
    newest_generation = (
        world.generation_before
        if world.store_is_down
        else world.run(world.newest_generation())
    )

    async def in_force():
        return set((await world.generations()).values()) == {newest_generation}

    world.run(world.until(in_force, timeout_s))


@then(parsers.parse("no host reverts to an older generation within {duration_s:d} s"))
def _(world, duration_s):
    async def watch():
        until = time.monotonic() + duration_s
        while time.monotonic() < until:
            assert min((await world.generations()).values()) > world.generation_before
            await asyncio.sleep(0.2)

    world.run(watch())


@then("the key-value service holds the newest generation again")
def _(world):
    assert world.run(world.newest_generation()) == world.generation_before + 1


@then(parsers.parse("host-1 serves requests for {duration_s:d} s"))
def _(world, duration_s):
    async def serve():
        until = time.monotonic() + duration_s
        while time.monotonic() < until:
            reply = await world.request()
            assert reply.outcome == "answered", reply
            await asyncio.sleep(0.5)

    world.run(serve())


@then(
    parsers.parse(
        'host-1 refuses a request with code "{code}" and outcome "not_run" within 20 s'
    )
)
def _(world, code):
    async def refused():
        reply = await world.request()
        return (reply.code, reply.outcome, reply.retry_after_s > 0) == (
            code,
            "not_run",
            True,
        )

    world.run(world.until(refused, 20))


@then(parsers.parse("host-1 serves requests within {timeout_s:d} s"))
def _(world, timeout_s):
    async def answered():
        return (await world.request()).outcome == "answered"

    world.run(world.until(answered, timeout_s))


@then("runners that check fencing tokens refused the order")
def _(world):
    assert world.delayed_statuses == [412] * 3


@then(parsers.parse('every runner has version "{version}" within {timeout_s:d} s'))
def _(world, version, timeout_s):
    world.run(world.until(lambda: world.all_have(version), timeout_s))


@then(parsers.parse('every runner keeps version "{version}" for {duration_s:d} s'))
def _(world, version, duration_s):
    async def watch():
        until = time.monotonic() + duration_s
        while time.monotonic() < until:
            assert await world.all_have(version)
            await asyncio.sleep(0.2)

    world.run(watch())


@then("the fencing tokens of each pool never decreased")
def _(world):
    for runners in world.fleet.runners_by_pool.values():
        for runner in runners:
            facts = world.fleet.record(runner["name"])
            tokens = [f["token"] for f in facts if f["fact"] == "order"]
            stale_tokens = [token for token in tokens if token == 1]
            kept = [token for token in tokens if token not in stale_tokens]
            assert kept == sorted(kept)


@then("no two runners of a pool loaded weights at the same time")
def _(world):
    for pool in world.fleet.runners_by_pool:
        delta_by_fact = {"load_started": 1, "load_ended": -1}
        facts = [f for f in world.fleet.records(pool) if f["fact"] in delta_by_fact]
        assert len(facts) == 6
        running = 0
        for fact in sorted(facts, key=lambda f: f["at"]):
            running += delta_by_fact[fact["fact"]]
            assert running <= 1
