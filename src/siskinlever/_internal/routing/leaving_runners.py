"""Tracks which runners are leaving.

Sources are the runners themselves, the host list and peers. Each runner is polled
by only two hosts, its watchers: the first two in the rendezvous order of its name.
The other hosts learn of a leaving runner from the pings of the membership protocol,
so the cost per host does not grow with the fleet.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from functools import singledispatchmethod

from absl import logging

from ..configuration.current import Configuration, CurrentConfiguration
from ..coordination.host_list import ListedHost
from ..engines.registry import Engines
from ..exceptions import EngineError, ServiceCallError
from ..membership.members import Member, MemberState, MemberTable
from ..metrics.registry import Metrics
from ..models.declaration import Declaration, Runner, ServiceRunner
from ..models.events import EventKind
from ..peers import peer_pb2
from ..services.client import ServiceClient
from ..timeline.recorder import Recorder
from ..utils.clock import MS_PER_S, monotonic
from ..utils.rendezvous import is_among_best
from ..utils.tasks import TaskSet

WATCHERS_PER_RUNNER = 2
PROBE_PERIOD_S = 1.0
# A report that a runner is leaving is sent again after this time, for hosts that
# missed an earlier one.
REPEAT_PERIOD_S = 10.0
REPORT_TTL_S = 60.0
# Maximum number of runner updates in a ping.
MAX_UPDATES = 8
# An update is sent in ``SPREAD_FACTOR * ceil(log2(hosts + 1))`` pings.
SPREAD_FACTOR = 3


@dataclass(slots=True)
class _Report:
    """The last report of a runner and the number of pings in which to send it."""

    leaving: bool
    reported_at: float
    sends_left: int = 0


class LeavingRunners:
    """Maintains the set of runners that take no new work.

    Parameters
    ----------
    current : CurrentConfiguration
    members : MemberTable
    engines : Engines
    services : ServiceClient
    recorder : Recorder
    metrics : Metrics
    tasks : TaskSet

    Attributes
    ----------
    leaving : set of str
        Names of the leaving runners; updated in place.
    """

    def __init__(
        self,
        current: CurrentConfiguration,
        members: MemberTable,
        engines: Engines,
        services: ServiceClient,
        recorder: Recorder,
        metrics: Metrics,
        tasks: TaskSet,
    ) -> None:
        self.leaving: set[str] = set()
        self._members = members
        self._engines = engines
        self._services = services
        self._recorder = recorder
        self._metrics = metrics
        self._tasks = tasks
        self._current = current
        self._report_by_runner: dict[str, _Report] = {}
        self._listed_as_leaving: set[str] = set()
        self._watch_by_runner: dict[str, asyncio.Task[None]] = {}
        self._listeners: list[Callable[[frozenset[str]], None]] = []
        current.subscribe(self._configured)
        members.subscribe(self._on_member_changed)

    def subscribe(self, listener: Callable[[frozenset[str]], None]) -> None:
        """Call ``listener`` with the names of the leaving runners on each change."""
        self._listeners.append(listener)

    def receive_host_list(self, entries: Iterable[ListedHost]) -> None:
        """Update the runners listed as leaving; entries of hosts are ignored."""
        self._listed_as_leaving = {
            e.name for e in entries if e.leaving and not e.peer_address
        }
        self._update()

    def observe_ping(self, ping: peer_pb2.Ping) -> None:
        """Process the runner updates in a ping from a peer."""
        now = monotonic()
        for update in ping.runners:
            reported_at = now - update.age_ms / MS_PER_S
            self._receive(update.runner, update.leaving, reported_at)

    def updates(self) -> list[peer_pb2.RunnerNews]:
        """Return the runner updates for the next ping.

        Returns at most `MAX_UPDATES`, those with the most sends left first. Each
        call counts as one send of each returned update.
        """
        now = monotonic()
        chosen = [
            (name, report)
            for name, report in self._report_by_runner.items()
            if report.sends_left
        ]
        chosen.sort(key=lambda item: item[1].sends_left, reverse=True)
        for _, report in chosen[:MAX_UPDATES]:
            report.sends_left -= 1
        return [
            peer_pb2.RunnerNews(
                runner=name,
                leaving=report.leaving,
                age_ms=int((now - report.reported_at) * MS_PER_S),
            )
            for name, report in chosen[:MAX_UPDATES]
        ]

    def _receive(self, runner: str, leaving: bool, reported_at: float) -> None:
        """Process a report that was read from a runner or received from a peer."""
        previous = self._report_by_runner.get(runner)
        if previous is not None and reported_at <= previous.reported_at:
            return
        changed = leaving != (previous.leaving if previous else False)
        repeated = (
            previous is not None
            and leaving
            and (reported_at - previous.reported_at >= REPEAT_PERIOD_S)
        )
        if not changed and not repeated:
            return
        hosts = len(self._members.by_host)
        sends = SPREAD_FACTOR * math.ceil(math.log2(hosts + 1))
        self._report_by_runner[runner] = _Report(leaving, reported_at, sends)
        self._update()

    def _update(self) -> None:
        """Recompute the set of leaving runners and notify the listeners."""
        oldest = monotonic() - REPORT_TTL_S
        for name, report in list(self._report_by_runner.items()):
            if report.reported_at < oldest:
                del self._report_by_runner[name]
        reported = {
            name for name, report in self._report_by_runner.items() if report.leaving
        }
        leaving = reported | self._listed_as_leaving
        if leaving == self.leaving:
            return
        for name in leaving ^ self.leaving:
            logging.info("runner name=%s leaving=%s", name, name in leaving)
            self._recorder.record(
                EventKind.MEMBER_CHANGED, runner=name, leaving=int(name in leaving)
            )
        self.leaving.clear()
        self.leaving.update(leaving)
        self._metrics.gauge("runners_leaving", len(leaving))
        for listener in self._listeners:
            listener(frozenset(leaving))

    def _configured(self, configuration: Configuration) -> None:
        self._update_watches(configuration.declaration)

    def _on_member_changed(self, before: Member | None, after: Member) -> None:
        watch_states = [
            (m.state is not MemberState.DEAD, m.leaving) if m else (False, False)
            for m in (before, after)
        ]
        declaration = self._current.declaration
        if declaration is not None and watch_states[0] != watch_states[1]:
            self._update_watches(declaration)

    def _update_watches(self, declaration: Declaration) -> None:
        """Start and stop watch tasks to match the runners assigned to this host."""
        hosts = list(self._members.zone_by_host())
        own = self._members.own_host
        desired = {
            runner.name: runner
            for runner in _runners(declaration)
            if is_among_best(f"runner/{runner.name}", own, hosts, WATCHERS_PER_RUNNER)
        }
        for name in self._watch_by_runner.keys() - desired.keys():
            self._watch_by_runner.pop(name).cancel()
        for name, runner in desired.items():
            if name not in self._watch_by_runner:
                self._watch_by_runner[name] = self._tasks.start(
                    self._watch(runner), f"runner-{name}"
                )
        self._metrics.gauge("runners_watched", len(self._watch_by_runner))

    async def _watch(self, runner: Runner | ServiceRunner) -> None:
        while True:
            try:
                leaving = await self._is_leaving(runner)
                self._receive(runner.name, leaving, monotonic())
            except (EngineError, ServiceCallError):
                self._metrics.count("runner_probe_failures")
            await asyncio.sleep(PROBE_PERIOD_S)

    @singledispatchmethod
    def _is_leaving(self, runner: Runner | ServiceRunner) -> Awaitable[bool]:
        """Return whether a runner reports that it is leaving."""
        raise TypeError(f"not a runner: {runner!r}")

    @_is_leaving.register
    async def _is_engine_leaving(self, runner: Runner) -> bool:
        return (await self._engines.at(runner.address).load()).leaving

    @_is_leaving.register
    async def _is_service_leaving(self, runner: ServiceRunner) -> bool:
        return await self._services.leaving(runner.address)


def _runners(declaration: Declaration) -> list[Runner | ServiceRunner]:
    engines = [r for pool in declaration.engine_pools for r in pool.runners]
    services = [r for service in declaration.services for r in service.runners]
    return [*engines, *services]
