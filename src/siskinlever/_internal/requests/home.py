"""Serves the calls of hosts about requests whose home, or backup, this host is."""

from __future__ import annotations

import asyncio

from ..membership.members import Member, MemberState, MemberTable
from ..metrics.registry import Metrics
from ..models.events import EventKind, Stamp
from ..models.ids import Attempt, HostName, Incarnation, RequestId
from ..peers import peer_pb2
from ..timeline.recorder import Recorder
from .aborts import AbortQueue
from .attempts import (
    AttemptState,
    AttemptTable,
    Decision,
    EngineHandle,
    Entry,
    Registration,
)

EXPIRE_PERIOD_S = 30.0
COUNTER_BITS = 16

MESSAGE_BY_DECISION = {
    Decision.START: peer_pb2.START,
    Decision.TAKE_OVER: peer_pb2.TAKE_OVER,
    Decision.ALREADY_ANSWERED: peer_pb2.ALREADY_ANSWERED,
    Decision.OTHER_BODY: peer_pb2.OTHER_BODY,
}


def attempt_number(stamp: Stamp) -> Attempt:
    """Return an attempt's number, higher than those of all earlier stamps."""
    return Attempt((stamp.wall_ms << COUNTER_BITS) + stamp.counter)


class RequestHome:
    """Decides which attempt may answer.

    Parameters
    ----------
    members : MemberTable
    aborts : AbortQueue
    recorder : Recorder
    metrics : Metrics
    """

    def __init__(
        self,
        members: MemberTable,
        aborts: AbortQueue,
        recorder: Recorder,
        metrics: Metrics,
    ) -> None:
        self.table = AttemptTable()
        self._aborts = aborts
        self._recorder = recorder
        self._metrics = metrics
        members.subscribe(self._member_changed)

    async def run(self) -> None:
        """Forget old requests until cancelled."""
        while True:
            await asyncio.sleep(EXPIRE_PERIOD_S)
            self.table.expire()
            self._metrics.gauge("home_entries", len(self.table.by_key))

    async def register(
        self, request: peer_pb2.RegisterRequest
    ) -> peer_pb2.RegisterReply:
        """Decide about a new attempt."""
        clock = self._recorder.clock
        clock.observe(request.stamp.wall_ms, request.stamp.counter)
        stamp = clock.tick()
        registration = self.table.register(
            _key(request.workspace, request.request_id),
            HostName(request.host),
            Incarnation(request.incarnation),
            request.nonce,
            request.body_digest,
            attempt_number(stamp),
        )
        if registration.decision is Decision.TAKE_OVER:
            self._recorder.record(
                EventKind.TAKEN_OVER, request.request_id, by=request.host
            )
        return _register_reply(registration, stamp)

    async def hold(self, request: peer_pb2.HoldRequest) -> peer_pb2.HoldReply:
        """Take in what an attempt holds at engines."""
        state = AttemptState.ANSWERED if request.answered else AttemptState.RUNNING
        entry = Entry(
            HostName(request.host),
            Incarnation(request.incarnation),
            Attempt(request.attempt),
            f"{request.host}/{request.attempt}",
            request.body_digest,
            state,
            tuple(
                EngineHandle(h.runner, h.address, h.engine_request_id)
                for h in request.handles
            ),
        )
        key = _key(request.workspace, request.request_id)
        return peer_pb2.HoldReply(current=self.table.hold(key, entry))

    async def complete(
        self, request: peer_pb2.CompleteRequest
    ) -> peer_pb2.CompleteReply:
        """Grant the completion of an answer to the current attempt."""
        self._recorder.clock.observe(request.stamp.wall_ms, request.stamp.counter)
        key = _key(request.workspace, request.request_id)
        known = key in self.table.by_key
        granted = self.table.complete(key, Attempt(request.attempt))
        return peer_pb2.CompleteReply(granted=granted, known=known)

    async def abandon(self, request: peer_pb2.AbandonRequest) -> peer_pb2.Nothing:
        """Note that an attempt ended with no answer."""
        key = _key(request.workspace, request.request_id)
        self.table.abandon(key, Attempt(request.attempt))
        return peer_pb2.Nothing()

    def _member_changed(self, before: Member | None, after: Member) -> None:
        if after.state is not MemberState.DEAD:
            return
        for key, entry in self.table.of_host(after.host, after.incarnation):
            for handle in entry.handles:
                self._aborts.add(handle.address, handle.engine_request_id)
            self._recorder.record(
                EventKind.CANCELLED, RequestId(key.partition("/")[2]), host=after.host
            )
            self.table.abandon(key, entry.attempt)


def _key(workspace: str, request_id: str) -> str:
    return f"{workspace}/{request_id}"


def _register_reply(registration: Registration, stamp: Stamp) -> peer_pb2.RegisterReply:
    previous = registration.previous
    handles = previous.handles if previous else ()
    return peer_pb2.RegisterReply(
        decision=MESSAGE_BY_DECISION[registration.decision],
        attempt=registration.attempt,
        previous_host=previous.host if previous else "",
        handles=[
            peer_pb2.Handle(
                runner=h.runner,
                address=h.address,
                engine_request_id=h.engine_request_id,
            )
            for h in handles
        ],
        stamp=peer_pb2.Stamp(wall_ms=stamp.wall_ms, counter=stamp.counter),
    )
