"""Follows which runners are leaving, by their own word, the host list or peers.

Each runner is asked by two hosts only, its watchers: the first two in the
rendezvous order of its name. The others hear of a leaving runner by the pings
of the membership protocol, so the cost of a host does not grow with the fleet.
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

WATCHERS = 2
PROBE_PERIOD_S = 1.0
# A watcher repeats the news, so that hosts which missed it hear it too.
REPEAT_PERIOD_S = 10.0
FORGET_AFTER_S = 60.0
MAX_NEWS = 8
SPREAD_FACTOR = 3


@dataclass(slots=True)
class _Word:
    """What a runner last said, and how often it still has to be passed on."""

    leaving: bool
    said_at: float
    sends_left: int = 0


class RunnerFollower:
    """Keeps the names of the runners that take no new work.

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
        Changed in place.
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
        self._word_by_runner: dict[str, _Word] = {}
        self._listed: set[str] = set()
        self._watch_by_runner: dict[str, asyncio.Task[None]] = {}
        self._listeners: list[Callable[[frozenset[str]], None]] = []
        current.subscribe(self._configured)
        members.subscribe(self._member_changed)

    def subscribe(self, listener: Callable[[frozenset[str]], None]) -> None:
        """Call ``listener`` with the leaving runners after each change."""
        self._listeners.append(listener)

    def listed(self, entries: Iterable[ListedHost]) -> None:
        """Take in a reading of the host list; entries of hosts are passed by."""
        self._listed = {e.name for e in entries if e.leaving and not e.peer_address}
        self._update()

    def heard(self, ping: peer_pb2.Ping) -> None:
        """Take in a peer's news of runners."""
        now = monotonic()
        for news in ping.runners:
            said_at = now - news.age_ms / MS_PER_S
            self._take(news.runner, news.leaving, said_at)

    def news(self) -> list[peer_pb2.RunnerNews]:
        """Return what the next ping carries."""
        now = monotonic()
        chosen = [
            (name, word)
            for name, word in self._word_by_runner.items()
            if word.sends_left
        ]
        chosen.sort(key=lambda item: item[1].sends_left, reverse=True)
        for _, word in chosen[:MAX_NEWS]:
            word.sends_left -= 1
        return [
            peer_pb2.RunnerNews(
                runner=name,
                leaving=word.leaving,
                age_ms=int((now - word.said_at) * MS_PER_S),
            )
            for name, word in chosen[:MAX_NEWS]
        ]

    def _take(self, runner: str, leaving: bool, said_at: float) -> None:
        """Take in a runner's word, from itself or by a peer."""
        known = self._word_by_runner.get(runner)
        if known is not None and said_at <= known.said_at:
            return
        changed = leaving != (known.leaving if known else False)
        repeated = (
            known is not None
            and leaving
            and (said_at - known.said_at >= REPEAT_PERIOD_S)
        )
        if not changed and not repeated:
            return
        hosts = len(self._members.by_host)
        sends = SPREAD_FACTOR * math.ceil(math.log2(hosts + 1))
        self._word_by_runner[runner] = _Word(leaving, said_at, sends)
        self._update()

    def _update(self) -> None:
        """Bring the set of leaving runners up to date."""
        oldest = monotonic() - FORGET_AFTER_S
        for name, word in list(self._word_by_runner.items()):
            if word.said_at < oldest:
                del self._word_by_runner[name]
        said = {name for name, word in self._word_by_runner.items() if word.leaving}
        leaving = said | self._listed
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
        self._choose(configuration.declaration)

    def _member_changed(self, before: Member | None, after: Member) -> None:
        places = [
            (m.state is not MemberState.DEAD, m.leaving) if m else (False, False)
            for m in (before, after)
        ]
        declaration = self._current.declaration
        if declaration is not None and places[0] != places[1]:
            self._choose(declaration)

    def _choose(self, declaration: Declaration) -> None:
        """Watch the runners that this host is a watcher of, and no others."""
        hosts = list(self._members.zone_by_host())
        own = self._members.own_host
        wanted = {
            runner.name: runner
            for runner in _runners(declaration)
            if is_among_best(f"runner/{runner.name}", own, hosts, WATCHERS)
        }
        for name in self._watch_by_runner.keys() - wanted.keys():
            self._watch_by_runner.pop(name).cancel()
        for name, runner in wanted.items():
            if name not in self._watch_by_runner:
                self._watch_by_runner[name] = self._tasks.start(
                    self._watch(runner), f"runner-{name}"
                )
        self._metrics.gauge("runners_watched", len(self._watch_by_runner))

    async def _watch(self, runner: Runner | ServiceRunner) -> None:
        while True:
            try:
                leaving = await self._ask(runner)
                self._take(runner.name, leaving, monotonic())
            except (EngineError, ServiceCallError):
                self._metrics.count("runner_probe_failures")
            await asyncio.sleep(PROBE_PERIOD_S)

    @singledispatchmethod
    def _ask(self, runner: Runner | ServiceRunner) -> Awaitable[bool]:
        """Ask a runner whether it is leaving."""
        raise TypeError(f"not a runner: {runner!r}")

    @_ask.register
    async def _ask_engine(self, runner: Runner) -> bool:
        return (await self._engines.at(runner.address).load()).leaving

    @_ask.register
    async def _ask_service(self, runner: ServiceRunner) -> bool:
        return await self._services.leaving(runner.address)


def _runners(declaration: Declaration) -> list[Runner | ServiceRunner]:
    engines = [r for pool in declaration.engine_pools for r in pool.runners]
    services = [r for service in declaration.services for r in service.runners]
    return [*engines, *services]
