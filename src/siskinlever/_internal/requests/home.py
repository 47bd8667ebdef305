"""Serves peer calls about requests of which this host is the home or the backup."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from ..exceptions import PeerError
from ..membership.members import (
    Member,
    MemberState,
    MemberTable,
    departed_incarnation,
)
from ..metrics.registry import Metrics
from ..models.events import EventKind, Stamp
from ..models.ids import Attempt, HostName, Incarnation, RequestId
from ..peers import peer_pb2
from ..peers.link import Peers
from ..timeline.recorder import Recorder
from ..utils.clock import Deadline, monotonic
from ..utils.tasks import TaskSet
from .aborts import AbortQueue
from .attempts import AttemptState, AttemptTable, Decision, Entry, RegistrationReply
from .handover import EntryHandover
from .homes import Homes
from .locks import KeyedLocks
from .messages import from_message, request_key, to_handles, to_message

EXPIRE_PERIOD_S = 30.0
CANCEL_PERIOD_S = 0.2
# After a partition heals, hosts that were wrongly marked dead refute this within
# this time.
REJOIN_GRACE_S = 1.0
COUNTER_BITS = 16
# Two tries at a replica must end before the call to this home times out.
REPLICA_TIMEOUT_S = 0.2

PROTO_BY_DECISION = {
    Decision.START: peer_pb2.START,
    Decision.TAKE_OVER: peer_pb2.TAKE_OVER,
    Decision.ALREADY_ANSWERED: peer_pb2.ALREADY_ANSWERED,
    Decision.OTHER_BODY: peer_pb2.OTHER_BODY,
}


def attempt_number(stamp: Stamp) -> Attempt:
    """Return an attempt number that is higher than those of all earlier stamps."""
    return Attempt((stamp.wall_ms << COUNTER_BITS) + stamp.counter)


class RequestHome:
    """Decides which attempt at a request may answer it.

    Parameters
    ----------
    members : MemberTable
    peers : Peers
    aborts : AbortQueue
    recorder : Recorder
    metrics : Metrics
    tasks : TaskSet
    """

    def __init__(
        self,
        members: MemberTable,
        peers: Peers,
        aborts: AbortQueue,
        recorder: Recorder,
        metrics: Metrics,
        tasks: TaskSet,
    ) -> None:
        self.table = AttemptTable()
        self.homes = Homes(members)
        self._members = members
        self._peers = peers
        self._aborts = aborts
        self._recorder = recorder
        self._metrics = metrics
        self._tasks = tasks
        self._locks = KeyedLocks()
        self._handover = EntryHandover(
            self.table, self.homes, members, peers, metrics, tasks
        )
        self._departed_incarnation_by_host: dict[HostName, Incarnation] = {}
        self._last_without_majority_at = float("-inf")
        members.subscribe(self._on_member_changed)

    async def run(self) -> None:
        """Expire old entries and cancel attempts of departed hosts, until cancelled."""
        expiry = Deadline(EXPIRE_PERIOD_S)
        while True:
            await asyncio.sleep(CANCEL_PERIOD_S)
            self._cancel_departed()
            if expiry.passed:
                expiry = Deadline(EXPIRE_PERIOD_S)
                self._expire()

    def _expire(self) -> None:
        self.table.expire()
        self._handover.expire()
        self._metrics.gauge("home_entries", len(self.table.by_key))

    async def register(
        self, request: peer_pb2.RegisterRequest
    ) -> peer_pb2.RegisterReply:
        """Decide whether a new attempt may start, and replicate its entry."""
        clock = self._recorder.clock
        clock.observe(request.stamp.wall_ms, request.stamp.counter)
        key = request_key(request.workspace, request.request_id)
        async with self._locks.locked(key):
            if not self._members.has_majority or not self.homes.is_own(key):
                return peer_pb2.RegisterReply(decision=peer_pb2.NOT_HOME)
            if not await self._recover_entry(key):
                return peer_pb2.RegisterReply(decision=peer_pb2.RETRY)
            stamp = clock.tick()
            requested = Entry(
                HostName(request.host),
                Incarnation(request.incarnation),
                attempt_number(stamp),
                request.nonce,
                request.body_digest,
            )
            registration = self.table.register(key, requested)
            await self._replicate_registration(key, registration)
        if registration.decision is Decision.TAKE_OVER:
            self._recorder.record(
                EventKind.TAKEN_OVER, RequestId(request.request_id), by=request.host
            )
        return _register_reply(registration, stamp)

    async def hold(self, request: peer_pb2.HoldRequest) -> peer_pb2.HoldReply:
        """Store an entry that the attempt's host or the request's home sent.

        A copy from a home is refused if another host is the home according to
        this host's member table.
        """
        key, entry = from_message(request.entry)
        if request.home and self.homes.replicas_of(key).home != request.home:
            return peer_pb2.HoldReply(current=False)
        current = self.table.hold(key, entry)
        self._track_entry(key)
        ran = self.table.by_key[key].ran
        return peer_pb2.HoldReply(current=current, ran=ran)

    async def complete(
        self, request: peer_pb2.CompleteRequest
    ) -> peer_pb2.CompleteReply:
        """Grant the completion of an answer to the current attempt.

        The backup records the answer before the completion is granted. It
        refuses if another host is the home according to its member table, so a
        home that was paused or is partitioned cannot grant on the basis of stale
        state.
        """
        self._recorder.clock.observe(request.stamp.wall_ms, request.stamp.counter)
        key = request_key(request.workspace, request.request_id)
        async with self._locks.locked(key):
            if not self._members.has_majority or not self.homes.is_own(key):
                return peer_pb2.CompleteReply(retry=True, known=True)
            if not await self._recover_entry(key):
                return peer_pb2.CompleteReply(retry=True, known=True)
            known = self.table.by_key.get(key)
            if known is None:
                return peer_pb2.CompleteReply(known=False)
            if known.nonce != request.nonce:
                return peer_pb2.CompleteReply(known=True)
            answered = replace(known, state=AttemptState.ANSWERED, handles=())
            if not await self._replicate(key, answered):
                return peer_pb2.CompleteReply(retry=True, known=True)
            granted = self.table.complete(key, request.nonce)
        return peer_pb2.CompleteReply(granted=granted, known=True)

    async def abandon(self, request: peer_pb2.AbandonRequest) -> peer_pb2.AbandonReply:
        """Record that an attempt ended without an answer."""
        key = request_key(request.workspace, request.request_id)
        replaced = self.table.abandon(key, request.nonce, request.ran)
        return peer_pb2.AbandonReply(replaced=replaced)

    async def fetch_entry(
        self, request: peer_pb2.FetchEntryRequest
    ) -> peer_pb2.FetchEntryReply:
        """Return this host's entry of a request to the request's new home."""
        key = request_key(request.workspace, request.request_id)
        known = self.table.by_key.get(key)
        if known is None:
            return peer_pb2.FetchEntryReply(found=False)
        return peer_pb2.FetchEntryReply(found=True, entry=to_message(key, known))

    async def hand_over(self, request: peer_pb2.HandOverRequest) -> peer_pb2.Nothing:
        """Merge entries that another host hands over."""
        for message in request.entries:
            key, entry = from_message(message)
            self.table.merge(key, entry)
            self._track_entry(key)
        return peer_pb2.Nothing()

    def store_own(self, key: str, entry: Entry) -> None:
        """Store the entry of an attempt that this host serves."""
        self.table.hold(key, entry)
        self._track_entry(key)

    def _track_entry(self, key: str) -> None:
        """Track the replicas of an entry; cancel the attempt if its host is dead."""
        self._handover.track(key)
        entry = self.table.by_key[key]
        if entry.state is not AttemptState.RUNNING:
            return
        member = self._members.by_host.get(entry.host)
        dead = member is not None and member.state is MemberState.DEAD
        if dead and member is not None:
            self._departed_incarnation_by_host[entry.host] = member.incarnation
            self._cancel_departed()

    async def _recover_entry(self, key: str) -> bool:
        """Fetch an entry from its previous replicas if they changed recently.

        Returns
        -------
        complete : bool
            Whether this host now has everything that the previous replicas
            had recorded about the request.
        """
        own = self._members.own_host
        previous = self.homes.previous(key)
        if all(pair.home == own for pair in previous):
            return True
        replicas = {host for pair in previous for host in pair if host is not None}
        queried = replicas & {m.host for m in self._members.alive()} - {own}
        if not queried:
            return own in replicas or self.homes.is_stable
        replies = await asyncio.gather(*(self._fetch(host, key) for host in queried))
        return all(replies)

    async def _fetch(self, host: HostName, key: str) -> bool:
        workspace, _, request_id = key.partition("/")
        message = peer_pb2.FetchEntryRequest(workspace=workspace, request_id=request_id)
        try:
            reply = await self._peers.call(
                host, "FetchEntry", message, REPLICA_TIMEOUT_S
            )
        except PeerError:
            return False
        if reply.found:
            _, entry = from_message(reply.entry)
            self.table.merge(key, entry)
        return True

    async def _replicate_registration(
        self, key: str, registration: RegistrationReply
    ) -> None:
        """Send the entry of a new attempt to the backup.

        The reply is awaited only if this attempt takes over another one or an
        engine may have run an earlier one. Otherwise the entry is replicated in
        the background.
        """
        self._handover.track(key)
        if registration.decision not in (Decision.START, Decision.TAKE_OVER):
            return
        copy = replace(registration.entry)
        if registration.decision is Decision.START and not registration.entry.ran:
            self._tasks.start(self._replicate(key, copy), "replicate")
            return
        await self._replicate(key, copy)

    async def _replicate(self, key: str, entry: Entry) -> bool:
        """Send an entry to the backup and return whether the backup accepted it."""
        backup = self.homes.replicas_of(key).backup
        if backup is None:
            return True
        message = peer_pb2.HoldRequest(
            entry=to_message(key, entry), home=self._members.own_host
        )
        try:
            reply = await self._peers.call(backup, "Hold", message, REPLICA_TIMEOUT_S)
        except PeerError:
            self._metrics.count("home_messages_lost", rpc="Hold")
            return False
        return bool(reply.current)

    def _on_member_changed(self, before: Member | None, after: Member) -> None:
        departed = departed_incarnation(before, after)
        if departed is not None:
            self._departed_incarnation_by_host[after.host] = departed
            self._cancel_departed()

    def _cancel_departed(self) -> None:
        """Cancel the attempts of hosts that have departed.

        A host that is partitioned or was just paused marks all other hosts dead,
        so nothing is cancelled without a majority, nor for `REJOIN_GRACE_S`
        after the majority returns.
        """
        if not self._members.has_majority:
            self._last_without_majority_at = monotonic()
        if monotonic() - self._last_without_majority_at < REJOIN_GRACE_S:
            return
        for host, departed in self._departed_incarnation_by_host.items():
            if not self._has_departed(host, departed):
                continue
            for key, entry in self.table.running_on(host, departed):
                self._cancel(key, entry)
        self._departed_incarnation_by_host.clear()

    def _has_departed(self, host: HostName, incarnation: Incarnation) -> bool:
        """Whether a host's process is dead or was replaced by a later one."""
        member = self._members.by_host.get(host)
        if member is None or member.state is MemberState.DEAD:
            return True
        return member.started > incarnation

    def _cancel(self, key: str, entry: Entry) -> None:
        """Abort the generations of an attempt whose host has departed."""
        for handle in entry.handles:
            self._aborts.add(handle.address, handle.engine_request_id)
        self._recorder.record(
            EventKind.CANCELLED, RequestId(key.partition("/")[2]), host=entry.host
        )
        self.table.abandon(key, entry.nonce, ran=True)


def _register_reply(
    registration: RegistrationReply, stamp: Stamp
) -> peer_pb2.RegisterReply:
    entry = registration.entry
    return peer_pb2.RegisterReply(
        decision=PROTO_BY_DECISION[registration.decision],
        attempt=entry.attempt,
        previous_host=entry.previous_host or "",
        handles=to_handles(entry.handles),
        stamp=peer_pb2.Stamp(wall_ms=stamp.wall_ms, counter=stamp.counter),
        ran=entry.ran,
    )
