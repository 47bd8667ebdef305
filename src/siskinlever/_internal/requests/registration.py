"""Registers the attempts of this host at the homes of their requests."""

from __future__ import annotations

import asyncio
import uuid
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result

from ..exceptions import PeerError
from ..membership.members import MemberTable
from ..metrics.registry import Metrics
from ..models.ids import Attempt, HostName
from ..models.outcome import Failed, Reason, Refused
from ..models.work import ModelRequest
from ..peers import peer_pb2
from ..peers.link import Peers
from ..timeline.recorder import Recorder
from ..utils.rendezvous import primary_and_backup
from ..utils.tasks import TaskSet
from .attempts import EngineHandle
from .home import RequestHome

REGISTER_TRIES = 4
RETRY_PAUSE_S = 0.2
HOME_SILENT_RETRY_S = 1.0


@dataclass(frozen=True, slots=True)
class Registered:
    """An attempt that its home lets run."""

    attempt: Attempt
    nonce: str
    previous_host: HostName | None
    previous_handles: tuple[EngineHandle, ...]


class Registrar:
    """Calls the homes of requests."""

    def __init__(
        self,
        members: MemberTable,
        peers: Peers,
        own_home: RequestHome,
        recorder: Recorder,
        metrics: Metrics,
        tasks: TaskSet,
    ) -> None:
        self._members = members
        self._peers = peers
        self._own_home = own_home
        self._recorder = recorder
        self._metrics = metrics
        self._tasks = tasks

    async def register(
        self, request: ModelRequest
    ) -> Result[Registered, Refused | Failed]:
        """Ask the request's home for a new attempt."""
        nonce = uuid.uuid4().hex
        message = self._register_message(request, nonce)
        for _ in range(REGISTER_TRIES):
            home, _backup = self._homes(request.key)
            try:
                reply = await self._call(home, "Register", message)
            except PeerError:
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            self._recorder.clock.observe(reply.stamp.wall_ms, reply.stamp.counter)
            return _registered(reply, nonce)
        return Error(
            Refused(
                Reason.OVERLOADED,
                HOME_SILENT_RETRY_S,
                "the request's home did not answer",
            )
        )

    def hold(
        self,
        request: ModelRequest,
        attempt: Attempt,
        handles: tuple[EngineHandle, ...],
        answered: bool = False,
    ) -> None:
        """Tell home and backup what the attempt holds; returns at once."""
        message = self._hold_message(request, attempt, handles, answered)
        for host in self._homes(request.key):
            if host is not None:
                self._tasks.start(self._send(host, "Hold", message), "hold")

    def _hold_message(
        self,
        request: ModelRequest,
        attempt: Attempt,
        handles: tuple[EngineHandle, ...] = (),
        answered: bool = False,
    ) -> peer_pb2.HoldRequest:
        own = self._members.own
        return peer_pb2.HoldRequest(
            workspace=request.workspace,
            request_id=request.request_id,
            host=own.host,
            incarnation=own.incarnation,
            attempt=attempt,
            handles=[
                peer_pb2.Handle(
                    runner=h.runner,
                    address=h.address,
                    engine_request_id=h.engine_request_id,
                )
                for h in handles
            ],
            body_digest=request.body_digest,
            answered=answered,
        )

    async def complete(self, request: ModelRequest, attempt: Attempt) -> bool:
        """Ask the home whether this attempt may complete the answer."""
        stamp = self._recorder.clock.tick()
        message = peer_pb2.CompleteRequest(
            workspace=request.workspace,
            request_id=request.request_id,
            host=self._members.own_host,
            attempt=attempt,
            stamp=peer_pb2.Stamp(wall_ms=stamp.wall_ms, counter=stamp.counter),
        )
        for _ in range(REGISTER_TRIES):
            home, _backup = self._homes(request.key)
            try:
                reply = await self._call(home, "Complete", message)
            except PeerError:
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            if not reply.known:
                # The home has changed since the attempt began.
                await self._send(home, "Hold", self._hold_message(request, attempt))
                continue
            if reply.granted:
                self.hold(request, attempt, (), answered=True)
            return bool(reply.granted)
        return False

    def abandon(self, request: ModelRequest, attempt: Attempt) -> None:
        """Tell home and backup that the attempt ended with no answer."""
        message = peer_pb2.AbandonRequest(
            workspace=request.workspace,
            request_id=request.request_id,
            host=self._members.own_host,
            attempt=attempt,
        )
        for host in self._homes(request.key):
            if host is not None:
                self._tasks.start(self._send(host, "Abandon", message), "abandon")

    async def stop_previous(
        self, request: ModelRequest, registered: Registered
    ) -> None:
        """Have the host of the attempt taken over close its caller's connection."""
        previous = registered.previous_host
        if previous is None or previous == self._members.own_host:
            return
        message = peer_pb2.StopAttemptRequest(
            workspace=request.workspace,
            request_id=request.request_id,
            attempt=registered.attempt,
        )
        await self._send(previous, "StopAttempt", message)

    async def _send(self, host: HostName | None, rpc: str, message: Any) -> None:
        try:
            await self._call(host, rpc, message)
        except PeerError:
            self._metrics.count("home_messages_lost", rpc=rpc)

    async def _call(self, host: HostName | None, rpc: str, message: Any) -> Any:
        if host is None:
            raise PeerError("no host is alive")
        if host != self._members.own_host:
            return await self._peers.call(host, rpc, message)
        method = getattr(self._own_home, rpc.lower())
        return await method(message)

    def _homes(self, key: str) -> tuple[HostName | None, HostName | None]:
        zones = {str(h): z for h, z in self._members.zone_by_host().items()}
        home, backup = primary_and_backup(f"request/{key}", zones)
        return (
            HostName(home) if home else None,
            HostName(backup) if backup else None,
        )

    def _register_message(
        self, request: ModelRequest, nonce: str
    ) -> peer_pb2.RegisterRequest:
        own = self._members.own
        stamp = self._recorder.clock.tick()
        return peer_pb2.RegisterRequest(
            workspace=request.workspace,
            request_id=request.request_id,
            host=own.host,
            incarnation=own.incarnation,
            body_digest=request.body_digest,
            resume=request.resume_after is not None,
            nonce=nonce,
            stamp=peer_pb2.Stamp(wall_ms=stamp.wall_ms, counter=stamp.counter),
        )


def _registered(
    reply: peer_pb2.RegisterReply, nonce: str
) -> Result[Registered, Refused | Failed]:
    if reply.decision == peer_pb2.ALREADY_ANSWERED:
        return Error(
            Failed(Reason.ALREADY_ANSWERED, "this request id was answered before")
        )
    if reply.decision == peer_pb2.OTHER_BODY:
        return Error(
            Failed(Reason.DUPLICATE, "this request id was used for another request")
        )
    handles = tuple(
        EngineHandle(h.runner, h.address, h.engine_request_id) for h in reply.handles
    )
    previous = HostName(reply.previous_host) if reply.previous_host else None
    return Ok(Registered(Attempt(reply.attempt), nonce, previous, handles))
