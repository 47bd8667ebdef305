"""The exchange of evidence on crashes between hosts."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import pytest

from siskinlever._internal.dispatch.cause_search import SIMULTANEOUS_S
from siskinlever._internal.dispatch.crash_causes import CrashCauses
from siskinlever._internal.dispatch.crash_evidence import BEGUN_WEIGHT, CrashedRun
from siskinlever._internal.exceptions import PeerError
from siskinlever._internal.fleet import crash_reports
from siskinlever._internal.fleet.crash_reports import CrashReports
from siskinlever._internal.models.ids import ServiceName
from siskinlever._internal.models.traits import Trait, part_traits, request_trait
from siskinlever._internal.models.upstreams import RunnerKey
from siskinlever._internal.utils.tasks import task_set


@dataclass
class Status:
    """The part of a host's status that the exchange uses."""

    peers_address: str


class NoLog:
    def write(self, *_, **__) -> None: ...


class NoMetrics:
    def count(self, *_, **__) -> None: ...
    def gauge(self, *_, **__) -> None: ...


@dataclass
class Network:
    """Hosts by address; calls to those that are cut off fail."""

    reports_by_address: dict[str, CrashReports] = field(default_factory=dict)
    cut_off: set[str] = field(default_factory=set)
    calls: int = 0

    async def call_address(self, address, rpc, message, timeout_s=0.0, tries=2):
        self.calls += 1
        await asyncio.sleep(0)
        if address in self.cut_off:
            raise PeerError(address)
        return await self.reports_by_address[address].serve(message)

    def add_host(self, address: str, tasks) -> CrashReports:
        def others() -> list[Status]:
            return [Status(a) for a in self.reports_by_address if a != address]

        self.reports_by_address[address] = CrashReports(
            CrashCauses(), others, self, NoLog(), NoMetrics(), tasks
        )
        return self.reports_by_address[address]


@pytest.fixture(autouse=True)
def short_times(monkeypatch):
    monkeypatch.setattr(crash_reports, "COLLECT_S", 0.0)


async def crash(reports: CrashReports, number: int, traits: str) -> None:
    await asyncio.sleep(SIMULTANEOUS_S + 0.01)
    run = CrashedRun(f"r-{number}", tuple(map(Trait, traits.split())), BEGUN_WEIGHT)
    reports.report(RunnerKey(f"e-{number}", number), [run])


def are_refused(network: Network, traits: str) -> set[bool]:
    return {
        reports.causes.bar_against(traits.split()) is not None
        for reports in network.reports_by_address.values()
    }


SETTLED_S = crash_reports.SETTLE_S + 0.1


async def test_crashes_at_different_hosts_bar_a_part_at_all_hosts():
    network = Network()
    async with task_set() as tasks:
        hosts = [network.add_host(f"h-{n}", tasks) for n in range(8)]
        hosts[6].note_whole([Trait("F")])
        for number in range(3):
            await crash(hosts[number], number, f"F S{number} B")
        await asyncio.sleep(SETTLED_S)
        assert are_refused(network, "F S9 B") == {True}
        assert are_refused(network, "F S1") == {False}
        assert len({reports.causes.digest for reports in hosts}) == 1


async def test_host_that_knows_a_whole_answer_acquits_at_all_hosts():
    network = Network()
    async with task_set() as tasks:
        hosts = [network.add_host(f"h-{n}", tasks) for n in range(3)]
        hosts[2].note_whole([Trait("S")])
        for number in range(4):
            await crash(hosts[number % 2], number, "S")
        await asyncio.sleep(SETTLED_S)
        assert are_refused(network, "S") == {False}


async def test_later_whole_answer_lifts_the_bar_at_all_hosts():
    network = Network()
    async with task_set() as tasks:
        hosts = [network.add_host(f"h-{n}", tasks) for n in range(3)]
        for number in range(3):
            await crash(hosts[0], number, "S")
        await asyncio.sleep(SETTLED_S)
        assert are_refused(network, "S") == {True}
        hosts[1].note_whole([Trait("S")])
        await asyncio.sleep(SETTLED_S)
        assert are_refused(network, "S") == {False}


async def test_host_that_was_cut_off_or_starts_learns_it_from_another_digest():
    network = Network(cut_off={"h-1"})
    async with task_set() as tasks:
        hosts = [network.add_host(f"h-{n}", tasks) for n in range(2)]
        for number in range(3):
            await crash(hosts[0], number, "F B")
        await asyncio.sleep(SETTLED_S)
        network.cut_off.clear()
        hosts.append(network.add_host("h-2", tasks))
        for late in hosts[1:]:
            late.note_digest("h-0", hosts[0].causes.digest)
        await asyncio.sleep(SETTLED_S)
        assert are_refused(network, "F B") == {True}


async def test_exchange_ends_when_all_hosts_have_the_same_evidence():
    network = Network()
    async with task_set() as tasks:
        hosts = [network.add_host(f"h-{n}", tasks) for n in range(8)]
        for reports in hosts[3:]:
            reports.note_whole([Trait("F")])
        for number in range(3):
            await crash(hosts[number], number, "F B")
        await asyncio.sleep(SETTLED_S)
        calls = network.calls
        for reports in hosts:
            reports.note_digest("h-0", hosts[0].causes.digest)
        await asyncio.sleep(SETTLED_S)
        assert network.calls == calls < 200


async def test_hosts_that_differ_fetch_at_most_once_in_a_while():
    network = Network()
    async with task_set() as tasks:
        reports = network.add_host("h-0", tasks)
        for number in range(1, 20):
            network.add_host(f"h-{number}", tasks)
        for number in range(1, 20):
            reports.note_digest(f"h-{number}", 17)
        await asyncio.sleep(0.01)
        assert network.calls == 1


async def test_causes_are_searched_for_once_for_many_changes(monkeypatch):
    network = Network()
    async with task_set() as tasks:
        reports = network.add_host("h-0", tasks)
        searches = []
        decide = reports.causes.decide
        monkeypatch.setattr(
            reports.causes, "decide", lambda: searches.append(1) or decide()
        )
        for number in range(50):
            run = CrashedRun(f"r-{number}", (Trait("B"),), BEGUN_WEIGHT)
            reports.report(RunnerKey(f"e-{number}", number), [run])
            reports.note_whole([Trait("B")])
        await asyncio.sleep(SETTLED_S)
        assert 1 <= len(searches) <= 5


async def test_late_evidence_counts_as_at_the_host_that_reported_it():
    """The host could not be reached while the crashes were reported."""
    network = Network(cut_off={"h-1"})
    async with task_set() as tasks:
        hosts = [network.add_host(f"h-{n}", tasks) for n in range(2)]
        for number in range(3):
            await crash(hosts[0], number, "F B")
        evidence = hosts[0].causes.crash_by_runner.values()
        for crashed in evidence:
            crashed.at = min(other.at for other in evidence)
        network.cut_off.clear()
        hosts[1].note_digest("h-0", hosts[0].causes.digest)
        await asyncio.sleep(SETTLED_S)
        assert are_refused(network, "F B") == {True}


async def test_hosts_agree_on_a_crash_under_a_prompt_of_very_many_parts():
    network = Network()
    async with task_set() as tasks:
        hosts = [network.add_host(f"h-{n}", tasks) for n in range(2)]
        parts = part_traits(ServiceName("engines"), map(str, range(100)))
        request = request_trait(ServiceName("engines"), b"request")
        await crash(hosts[0], 1, " ".join((*parts, request)))
        await asyncio.sleep(SETTLED_S)
        assert hosts[0].causes.digest == hosts[1].causes.digest
        (crashed,) = hosts[1].causes.crash_by_runner.values()
        assert request in crashed.suspects
