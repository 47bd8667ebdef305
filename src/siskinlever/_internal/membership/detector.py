"""Finds dead hosts by pings and spreads news of members with them.

The cost of a host does not grow with the fleet: in each period it pings
`FANOUT` hosts, in turn, and each message carries at most `MAX_UPDATES` items.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from absl import logging

from ..exceptions import HostListError, PeerError
from ..metrics.registry import Metrics
from ..models.events import EventKind
from ..models.ids import HostName, Incarnation
from ..peers import peer_pb2
from ..peers.link import Peers
from ..platform.host_list import HostListClient, ListedHost
from ..timeline.recorder import Recorder
from ..utils.clock import monotonic
from ..utils.tasks import TaskSet
from .members import Member, MemberState, MemberTable
from .messages import from_message, to_message

PERIOD_S = 0.5
FANOUT = 3
PING_TIMEOUT_S = 0.4
INDIRECT_PINGS = 2
SUSPICION_S = 1.0
FORGET_DEAD_S = 600.0
MAX_UPDATES = 8
SPREAD_FACTOR = 3
HOST_LIST_PERIOD_S = 1.0


@dataclass(slots=True)
class _News:
    host: HostName
    sends_left: int


class Detector:
    """Runs the membership protocol of this host.

    Parameters
    ----------
    table : MemberTable
    peers : Peers
    host_list : HostListClient
    recorder : Recorder
    metrics : Metrics
    generation : callable
        Returns the generation of the configuration in force.
    current_age_ms : callable
        Returns milliseconds since the configuration was known to be current.
    """

    def __init__(
        self,
        table: MemberTable,
        peers: Peers,
        host_list: HostListClient,
        recorder: Recorder,
        metrics: Metrics,
        generation: Callable[[], int],
        current_age_ms: Callable[[], int],
    ) -> None:
        self.table = table
        self._peers = peers
        self._host_list = host_list
        self._recorder = recorder
        self._metrics = metrics
        self._generation = generation
        self._current_age_ms = current_age_ms
        self._news_by_host: dict[HostName, _News] = {}
        self._suspect_since: dict[HostName, float] = {}
        self._dead_since: dict[HostName, float] = {}
        self._order: list[HostName] = []
        self._on_ping: list[Callable[[peer_pb2.Ping], None]] = []
        self._runner_news: Callable[[], Iterable[peer_pb2.RunnerNews]] = tuple
        self._on_listed: list[Callable[[list[ListedHost]], None]] = []
        table.subscribe(self._changed)

    def on_ping(self, listener: Callable[[peer_pb2.Ping], None]) -> None:
        """Call ``listener`` with each ping received, or received in reply."""
        self._on_ping.append(listener)

    def carry_runner_news(
        self, news: Callable[[], Iterable[peer_pb2.RunnerNews]]
    ) -> None:
        """Send what ``news`` returns with each ping."""
        self._runner_news = news

    def on_host_list(self, listener: Callable[[list[ListedHost]], None]) -> None:
        """Call ``listener`` with each reading of the host list."""
        self._on_listed.append(listener)

    async def join(self) -> None:
        """Meet the hosts of the host list before taking any work."""
        await self._read_host_list()

    async def run(self, tasks: TaskSet) -> None:
        """Run until cancelled."""
        tasks.start(self._follow_host_list(), "host-list")
        while True:
            for host in self._next_targets():
                tasks.start(self._probe(host), f"probe-{host}")
            self._expire()
            await asyncio.sleep(PERIOD_S)

    async def exchange(self, ping: peer_pb2.Ping) -> peer_pb2.Ping:
        """Serve a ping."""
        self._take_in(ping)
        reply = self._ping(full=ping.full)
        sender = self.table.by_host.get(HostName(ping.host))
        if sender is not None and sender.state is not MemberState.ALIVE:
            # The sender must learn of its own suspicion to contradict it.
            reply.updates.append(to_message(sender))
        return reply

    async def ping_indirectly(
        self, message: peer_pb2.IndirectPing
    ) -> peer_pb2.IndirectPingReply:
        """Ping a host for another that cannot reach it."""
        reached = await self._reach(HostName(message.target))
        return peer_pb2.IndirectPingReply(reached=reached)

    async def announce(self) -> None:
        """Tell all hosts the news at once, for a host that leaves."""
        others = [m.host for m in self.table.alive() if m.host != self.table.own_host]
        await asyncio.gather(*(self._reach(host) for host in others))

    def _next_targets(self) -> list[HostName]:
        if not self._order:
            self._order = [
                m.host for m in self.table.alive() if m.host != self.table.own_host
            ]
            random.shuffle(self._order)
        chosen = self._order[:FANOUT]
        self._order = self._order[FANOUT:]
        return chosen

    async def _probe(self, host: HostName) -> None:
        if await self._reach(host) or await self._reach_through_others(host):
            return
        if self.table.set_state(host, MemberState.SUSPECT):
            self._metrics.count("members_suspected")

    async def _reach(self, host: HostName) -> bool:
        try:
            reply = await self._peers.call(
                host, "Exchange", self._ping(), PING_TIMEOUT_S
            )
        except PeerError:
            return False
        self._take_in(reply)
        return True

    async def _reach_through_others(self, host: HostName) -> bool:
        others = [
            m.host
            for m in self.table.alive()
            if m.host not in (host, self.table.own_host)
        ]
        chosen = random.sample(others, min(INDIRECT_PINGS, len(others)))
        message = peer_pb2.IndirectPing(target=host)
        replies = await asyncio.gather(
            *(
                self._peers.call(via, "PingIndirectly", message, 3 * PING_TIMEOUT_S)
                for via in chosen
            ),
            return_exceptions=True,
        )
        return any(
            not isinstance(reply, BaseException) and reply.reached for reply in replies
        )

    def _ping(self, full: bool = False) -> peer_pb2.Ping:
        own = self.table.own
        stamp = self._recorder.clock.tick()
        updates = list(self.table.by_host.values()) if full else self._updates()
        return peer_pb2.Ping(
            host=own.host,
            incarnation=own.incarnation,
            generation=self._generation(),
            current_age_ms=self._current_age_ms(),
            stamp=peer_pb2.Stamp(wall_ms=stamp.wall_ms, counter=stamp.counter),
            updates=[to_message(member) for member in updates],
            full=len(self.table.by_host) == 1,
            runners=self._runner_news(),
        )

    def _updates(self) -> list[Member]:
        chosen = sorted(
            self._news_by_host.values(), key=lambda n: n.sends_left, reverse=True
        )[:MAX_UPDATES]
        for news in chosen:
            news.sends_left -= 1
            if news.sends_left <= 0:
                del self._news_by_host[news.host]
        members = [
            self.table.by_host[n.host] for n in chosen if n.host in self.table.by_host
        ]
        return [self.table.own, *(m for m in members if m.host != self.table.own_host)]

    def _take_in(self, ping: peer_pb2.Ping) -> None:
        self._recorder.clock.observe(ping.stamp.wall_ms, ping.stamp.counter)
        for update in ping.updates:
            self.table.merge(from_message(update))
        for listener in self._on_ping:
            listener(ping)

    def _changed(self, before: Member | None, after: Member) -> None:
        sends = SPREAD_FACTOR * math.ceil(math.log2(len(self.table.by_host) + 1))
        self._news_by_host[after.host] = _News(after.host, sends)
        self._peers.address_by_host[after.host] = after.peer_address
        self._track(after)
        if before is None or (before.state, before.leaving) != (
            after.state,
            after.leaving,
        ):
            logging.info(
                "member host=%s state=%s leaving=%s incarnation=%d",
                after.host,
                after.state.name,
                after.leaving,
                after.incarnation,
            )
            self._recorder.record(
                EventKind.MEMBER_CHANGED,
                member=after.host,
                state=after.state.name.lower(),
                leaving=int(after.leaving),
            )

    def _track(self, member: Member) -> None:
        now = monotonic()
        self._suspect_since.pop(member.host, None)
        self._dead_since.pop(member.host, None)
        if member.state is MemberState.SUSPECT:
            self._suspect_since[member.host] = now
        if member.state is MemberState.DEAD:
            self._dead_since[member.host] = now
            self._peers.forget(member.host)

    def _expire(self) -> None:
        now = monotonic()
        for host, since in list(self._suspect_since.items()):
            if now - since >= SUSPICION_S:
                self.table.set_state(host, MemberState.DEAD)
        for host, since in list(self._dead_since.items()):
            if now - since >= FORGET_DEAD_S:
                self.table.forget(host)
                del self._dead_since[host]

    async def _follow_host_list(self) -> None:
        while True:
            await asyncio.sleep(HOST_LIST_PERIOD_S)
            await self._read_host_list()

    async def _read_host_list(self) -> None:
        try:
            listed = await self._host_list.read()
        except HostListError:
            self._metrics.count("host_list_failures")
            return
        hosts = [item for item in listed if item.peer_address]
        self.table.listed = frozenset(
            HostName(item.name) for item in hosts if not item.leaving
        )
        await asyncio.gather(*(self._meet(h.name, h.peer_address) for h in hosts))
        for item in hosts:
            if item.leaving:
                self.table.set_leaving(HostName(item.name))
        for listener in self._on_listed:
            listener(listed)

    async def _meet(self, name: str, address: str) -> None:
        host = HostName(name)
        known = self.table.by_host.get(host)
        if known is not None and known.state is not MemberState.DEAD:
            return
        self._peers.address_by_host[host] = address
        await self._reach(host)


def initial_incarnation(wall_ms: int) -> Incarnation:
    """Return the incarnation of a process that starts now."""
    return Incarnation(wall_ms)
