"""Detects failed hosts by pings, which also carry updates about members.

The cost per host does not grow with the fleet: in each period a host pings the next
`FANOUT` hosts of a shuffled list of the live hosts, and each message carries a
bounded number of updates.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from itertools import islice

from absl import logging

from ..coordination.host_list import HostListClient, ListedHost
from ..exceptions import PeerError
from ..metrics.registry import Metrics
from ..models.events import EventKind
from ..models.ids import Generation, HostName, Incarnation
from ..peers import peer_pb2
from ..peers.link import Peers
from ..timeline.recorder import Recorder
from ..utils.clock import monotonic
from ..utils.duties import Duties
from ..utils.pauses import PauseDetector
from ..utils.tasks import TaskSet
from .host_list_follower import HostListFollower
from .members import Member, MemberState, MemberTable
from .messages import from_message, to_message
from .probe_sample import ProbeSample
from .update_queue import UpdateQueue

PERIOD_S = 0.5
FANOUT = 2
PING_TIMEOUT_S = 0.4
INDIRECT_TIMEOUT_S = 0.8
INDIRECT_PINGS = 2
# Seconds after which a suspect host that has not refuted the suspicion counts as dead.
SUSPICION_S = 0.8
EXPIRE_PERIOD_S = 0.05
DEAD_RETENTION_S = 600.0
MAX_MEMBERS = 4096


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
        Returns the milliseconds since the configuration was last known to be
        current.
    pauses : PauseDetector
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
        pauses: PauseDetector,
    ) -> None:
        self.table = table
        self.replaced = asyncio.Event()
        self._peers = peers
        self._recorder = recorder
        self._metrics = metrics
        self._generation = generation
        self._current_age_ms = current_age_ms
        self._pauses = pauses
        self._probe_sample = ProbeSample()
        self._host_list = HostListFollower(table, host_list, metrics, self._contact)
        self._update_queue = UpdateQueue()
        self._suspect_since: dict[HostName, float] = {}
        self._dead_since: dict[HostName, float] = {}
        self._probe_targets: list[HostName] = []
        self._ping_listeners: list[Callable[[peer_pb2.Ping], None]] = []
        self._last_contact_at = monotonic()
        self._runner_updates: Callable[[], Iterable[peer_pb2.RunnerNews]] = tuple
        table.subscribe(self._on_member_changed)
        table.confirmed_by_probes = self._confirmed_by_probes
        table.is_resuming = self._is_resuming
        pauses.subscribe(self._on_pause)

    def _confirmed_by_probes(self) -> bool:
        """Return whether contacts and probes show that this host is not cut off.

        This requires that a peer answered since the last pause and that enough
        recent probes succeeded.
        """
        return self.has_contact_since_pause and self._probe_sample.enough_reached()

    def _is_resuming(self) -> bool:
        """Return whether it is unknown since a pause if this host is cut off."""
        return not self.has_contact_since_pause or self._probe_sample.needs_probes

    @property
    def has_contact_since_pause(self) -> bool:
        """Whether a peer has answered since this process was last paused.

        While the process was paused, this host may have been declared dead and
        its work taken over by others. It must receive updates about this from a
        peer before it acts.

        Also True if no other host is alive.
        """
        if not self._others():
            return True
        return not self._pauses.paused_since(self._last_contact_at)

    async def confirm_contact(self) -> bool:
        """Ping peers unless one answered since a pause; return whether one did."""
        if not self.has_contact_since_pause:
            hosts = random.sample(self._others(), min(FANOUT, len(self._others())))
            await asyncio.gather(*(self._ping_host(host) for host in hosts))
        return self.has_contact_since_pause

    def subscribe_pings(self, listener: Callable[[peer_pb2.Ping], None]) -> None:
        """Call ``listener`` with each ping that is received, including replies."""
        self._ping_listeners.append(listener)

    def attach_runner_updates(
        self, collect: Callable[[], Iterable[peer_pb2.RunnerNews]]
    ) -> None:
        """Send the updates that ``collect`` returns with each ping."""
        self._runner_updates = collect

    def subscribe_host_list(self, listener: Callable[[list[ListedHost]], None]) -> None:
        """Call ``listener`` with all entries after each read of the host list."""
        self._host_list.subscribe(listener)

    async def generation_at(self, host: HostName) -> Generation | None:
        """Return the generation in force at a host, or None if it does not answer."""
        if host == self.table.own_host:
            return Generation(self._generation())
        try:
            reply = await self._peers.call(
                host, "Exchange", self._build_ping(to=host), PING_TIMEOUT_S
            )
        except PeerError:
            return None
        self._merge_ping(reply)
        return Generation(reply.generation)

    async def join(self) -> None:
        """Contact hosts of the host list; call it before accepting any work."""
        await self._host_list.join()

    def start(self, duties: Duties, tasks: TaskSet) -> None:
        """Run the protocol; single probes are started in ``tasks``."""
        duties.start("host-list", self._host_list.run)
        duties.start("meet-unknown", self._host_list.contact_unknown)
        duties.start("suspicions", self._expire_suspicions)
        duties.start("membership", lambda: self._probe_in_turn(tasks))

    async def _probe_in_turn(self, tasks: TaskSet) -> None:
        while True:
            for host in self._next_targets():
                tasks.start(self._probe(host), f"probe-{host}")
            await asyncio.sleep(PERIOD_S * random.uniform(0.9, 1.1))

    async def exchange(self, ping: peer_pb2.Ping) -> peer_pb2.Ping:
        """Merge a ping that was received and return the reply to it."""
        self._merge_ping(ping)
        reply = self._build_ping(full=ping.full)
        known = self.table.by_host.get(HostName(ping.host))
        if known is not None and _contradicts_sender(known, ping):
            # The sender must receive this state in order to refute it.
            reply.updates.append(to_message(known))
        return reply

    async def ping_indirectly(
        self, message: peer_pb2.IndirectPing
    ) -> peer_pb2.IndirectPingReply:
        """Ping a host on behalf of a host that cannot reach it."""
        reached = await self._ping_host(HostName(message.target), tries=1)
        return peer_pb2.IndirectPingReply(reached=reached)

    async def announce(self) -> None:
        """Ping all live hosts at once to announce that this host is leaving."""
        await asyncio.gather(*(self._ping_host(host) for host in self._others()))

    def _others(self) -> list[HostName]:
        return [m.host for m in self.table.alive() if m.host != self.table.own_host]

    def _next_targets(self) -> list[HostName]:
        if not self._probe_targets:
            self._probe_targets = self._others()
            random.shuffle(self._probe_targets)
        chosen = self._probe_targets[:FANOUT]
        self._probe_targets = self._probe_targets[FANOUT:]
        return chosen

    async def _probe(self, host: HostName) -> None:
        started_at = monotonic()
        reached = await self._ping_host(host, tries=1)
        if not reached:
            # Retry on a new connection and, concurrently, through other hosts.
            results = await asyncio.gather(
                self._ping_host(host, tries=1), self._ping_through_others(host)
            )
            reached = any(results)
        if self._pauses.paused_since(started_at):
            return  # The ping may have failed because this host was paused.
        self._probe_sample.add_result(reached)
        if not reached and self.table.set_state(host, MemberState.SUSPECT):
            self._metrics.count("members_suspected")

    async def _ping_host(self, host: HostName, tries: int = 2) -> bool:
        started_at = monotonic()
        try:
            reply = await self._peers.call(
                host, "Exchange", self._build_ping(to=host), PING_TIMEOUT_S, tries
            )
        except PeerError:
            return False
        self._last_contact_at = max(self._last_contact_at, started_at)
        self._merge_ping(reply)
        return True

    async def _ping_through_others(self, host: HostName) -> bool:
        others = [other for other in self._others() if other != host]
        chosen = random.sample(others, min(INDIRECT_PINGS, len(others)))
        message = peer_pb2.IndirectPing(target=host)
        replies = await asyncio.gather(
            *(
                self._peers.call(
                    via, "PingIndirectly", message, INDIRECT_TIMEOUT_S, tries=1
                )
                for via in chosen
            ),
            return_exceptions=True,
        )
        return any(
            not isinstance(reply, BaseException) and reply.reached for reply in replies
        )

    def _build_ping(
        self, to: HostName | None = None, full: bool = False
    ) -> peer_pb2.Ping:
        own = self.table.own
        stamp = self._recorder.clock.tick()
        updates = list(self.table.by_host.values()) if full else self._updates(to)
        return peer_pb2.Ping(
            host=own.host,
            incarnation=own.incarnation,
            generation=self._generation(),
            current_age_ms=self._current_age_ms(),
            stamp=peer_pb2.Stamp(wall_ms=stamp.wall_ms, counter=stamp.counter),
            updates=[to_message(member) for member in updates],
            full=len(self.table.by_host) == 1,
            runners=self._runner_updates(),
        )

    def _updates(self, to: HostName | None) -> list[Member]:
        hosts = dict.fromkeys([self.table.own_host, *self._update_queue.next_batch()])
        target = self.table.by_host.get(to) if to is not None else None
        if target is not None and target.state is not MemberState.ALIVE:
            hosts[target.host] = None
        return [self.table.by_host[h] for h in hosts if h in self.table.by_host]

    def _merge_ping(self, ping: peer_pb2.Ping) -> None:
        self._recorder.clock.observe(ping.stamp.wall_ms, ping.stamp.counter)
        for raw_update in islice(ping.updates, MAX_MEMBERS):
            update = from_message(raw_update)
            if update is None:
                self._metrics.count("members_rejected")
            elif self.table.is_replacement(update):
                self._on_replaced(update)
            else:
                self.table.merge(update)
        for listener in self._ping_listeners:
            listener(ping)

    def _on_replaced(self, update: Member) -> None:
        if not self.replaced.is_set():
            logging.error(
                "replaced by host=%s address=%s", update.host, update.peer_address
            )
        self.replaced.set()

    def _on_pause(self, gap_s: float) -> None:
        logging.warning("the process was frozen seconds=%.1f", gap_s)
        self._metrics.count("pauses")
        self._recorder.record(EventKind.PAUSED, seconds=round(gap_s, 1))
        self._probe_sample.forget()
        # Silence during the pause does not show that other hosts failed.
        now = monotonic()
        self._suspect_since = dict.fromkeys(self._suspect_since, now)

    def _on_member_changed(self, before: Member | None, after: Member) -> None:
        self._update_queue.add(after.host, len(self.table.by_host))
        if before is not None and before.peer_address != after.peer_address:
            self._peers.forget(after.host)
        self._peers.address_by_host[after.host] = after.peer_address
        self._track_state(after)
        if before is not None and (before.state, before.leaving) == (
            after.state,
            after.leaving,
        ):
            return
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

    def _track_state(self, member: Member) -> None:
        now = monotonic()
        self._suspect_since.pop(member.host, None)
        self._dead_since.pop(member.host, None)
        if member.state is MemberState.SUSPECT:
            self._suspect_since[member.host] = now
        if member.state is MemberState.DEAD:
            self._dead_since[member.host] = now
            self._peers.forget(member.host)

    async def _expire_suspicions(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_PERIOD_S)
            self._expire()

    def _expire(self) -> None:
        now = monotonic()
        if self._pauses.paused_since(now):
            return
        for host, since in list(self._suspect_since.items()):
            if now - since >= SUSPICION_S:
                self.table.set_state(host, MemberState.DEAD)
        for host, since in list(self._dead_since.items()):
            if now - since >= DEAD_RETENTION_S:
                self.table.forget(host)
                self._peers.address_by_host.pop(host, None)
                del self._dead_since[host]

    async def _contact(self, host: HostName, address: str) -> None:
        self._peers.address_by_host[host] = address
        await self._ping_host(host, tries=1)


def _contradicts_sender(known: Member, ping: peer_pb2.Ping) -> bool:
    """Return whether the local view of a sender contradicts its ping."""
    return known.state is not MemberState.ALIVE or known.incarnation > ping.incarnation


def initial_incarnation(wall_ms: int) -> Incarnation:
    """Return the incarnation of a process that starts at a Unix time in ms."""
    return Incarnation(wall_ms)
