"""Registers, confirms and completes this host's attempts at their homes."""

from __future__ import annotations

import asyncio
import uuid
from dataclasses import dataclass
from enum import Enum
from typing import Any

from expression import Error, Ok, Result

from ..exceptions import PeerError
from ..membership.members import MemberTable
from ..metrics.registry import Metrics
from ..models.ids import Attempt, HostName
from ..models.outcome import Failed, Reason, Refused
from ..models.work import TrackedRequest
from ..peers import peer_pb2
from ..peers.link import Peers
from ..timeline.recorder import Recorder
from ..utils.clock import Deadline
from ..utils.tasks import TaskSet
from .attempts import AttemptState, Entry, GenerationHandle
from .home import RequestHome
from .messages import from_handles, to_message

RETRY_PAUSE_S = 0.1
REGISTER_TIMEOUT_S = 6.0
COMPLETE_TIMEOUT_S = 10.0
HOLD_TRIES = 5
ABANDON_TRIES = 3
HOME_UNREACHABLE_RETRY_S = 1.0
# Time for which requests of a host that was paused wait until it knows whether it is
# cut off. It probes two hosts each 0.5 s and needs three results.
RESUME_TIMEOUT_S = 2.0

METHOD_BY_RPC = {
    "Register": "register",
    "Hold": "hold",
    "Complete": "complete",
    "Abandon": "abandon",
}


class Validity(Enum):
    """Whether an attempt is current, according to the request's replicas."""

    CURRENT = "current"
    REPLACED = "replaced"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Confirmation:
    """Reply of a replica on whether an attempt is current.

    This host's own entry counts only if there is no other replica.

    Parameters
    ----------
    validity : Validity
    ran : bool
        Whether an engine may have run any attempt at the same request. Hosts
        that wrongly mark each other dead record different attempts.
    """

    validity: Validity
    ran: bool = False

    @property
    def allows_not_run(self) -> bool:
        """Whether a refusal may report that the request was not run."""
        return self.validity is Validity.CURRENT and not self.ran


@dataclass(frozen=True, slots=True)
class RegisteredAttempt:
    """An attempt that the request's home has registered.

    Parameters
    ----------
    ran : bool
        Whether an engine may have run an earlier attempt.
    previous_host : str or None
        Host of the attempt that this attempt took over.
    previous_handles : tuple of GenerationHandle
        Generations of that attempt, for which this one is now responsible.
    """

    number: Attempt
    nonce: str
    ran: bool
    previous_host: HostName | None
    previous_handles: tuple[GenerationHandle, ...]


class Registrar:
    """Calls the homes and the other replicas of requests."""

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
        self, request: TrackedRequest
    ) -> Result[RegisteredAttempt, Refused | Failed]:
        """Register a new attempt at the request's home.

        Repeats the call until the home replies, the deadline passes or this
        host loses the majority. An attempt without a reply is abandoned.
        """
        nonce = uuid.uuid4().hex
        message = self._register_message(request, nonce)
        deadline = _request_deadline(request)
        resume_deadline = Deadline(RESUME_TIMEOUT_S)
        try:
            while self._may_have_majority(resume_deadline) and not deadline.passed:
                if not self._members.has_majority:
                    await asyncio.sleep(RETRY_PAUSE_S)
                    continue
                reply = await self._call_home(request.key, "Register", message)
                if reply is None or reply.decision in (
                    peer_pb2.NOT_HOME,
                    peer_pb2.RETRY,
                ):
                    await asyncio.sleep(RETRY_PAUSE_S)
                    continue
                self._recorder.clock.observe(reply.stamp.wall_ms, reply.stamp.counter)
                return self._process_register_reply(request, reply, nonce)
        except asyncio.CancelledError:
            # The home may have registered the attempt although no reply came.
            self._start_abandon(request, nonce, ran=False)
            raise
        self._start_abandon(request, nonce, ran=False)
        return Error(self.home_unreachable(request))

    async def confirm(
        self,
        request: TrackedRequest,
        registered_attempt: RegisteredAttempt,
        handles: tuple[GenerationHandle, ...],
    ) -> Confirmation:
        """Record an attempt's generations at a replica; return whether it is current.

        The generations are recorded before they start. Home and backup are
        called at the same time, and the first reply decides. This host's own
        entry counts only if there is no other replica, because this host may
        wrongly mark the home dead.
        """
        entry = self._own_entry(request, registered_attempt)
        entry.handles = handles
        self._own_home.store_own(request.key, entry)
        message = peer_pb2.HoldRequest(entry=to_message(request.key, entry))
        deadline = _request_deadline(request)
        resume_deadline = Deadline(RESUME_TIMEOUT_S)
        while True:
            reply = await self._first_hold_reply(request.key, message)
            if reply is not None:
                validity = Validity.CURRENT if reply.current else Validity.REPLACED
                return Confirmation(validity, registered_attempt.ran or reply.ran)
            if deadline.passed or not self._may_have_majority(resume_deadline):
                return Confirmation(Validity.UNKNOWN)
            await asyncio.sleep(RETRY_PAUSE_S)

    async def complete(
        self, request: TrackedRequest, registered_attempt: RegisteredAttempt
    ) -> Validity:
        """Request the home's permission to complete the answer.

        Returns
        -------
        validity : Validity
            ``CURRENT`` if granted, ``REPLACED`` if a later attempt is current,
            ``UNKNOWN`` if the home gave no decision within `COMPLETE_TIMEOUT_S`.
        """
        stamp = self._recorder.clock.tick()
        message = peer_pb2.CompleteRequest(
            workspace=request.workspace,
            request_id=request.request_id,
            host=self._members.own_host,
            attempt=registered_attempt.number,
            nonce=registered_attempt.nonce,
            stamp=peer_pb2.Stamp(wall_ms=stamp.wall_ms, counter=stamp.counter),
        )
        deadline = Deadline(COMPLETE_TIMEOUT_S)
        while not deadline.passed:
            reply = await self._call_home(request.key, "Complete", message)
            if reply is not None and not reply.known:
                # The home has changed since the attempt started, and the new
                # home has no entry for it.
                await self.confirm(request, registered_attempt, ())
            if reply is None or reply.retry or not reply.known:
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            if not reply.granted:
                return Validity.REPLACED
            entry = self._own_entry(request, registered_attempt)
            entry.state = AttemptState.ANSWERED
            self._own_home.store_own(request.key, entry)
            return Validity.CURRENT
        return Validity.UNKNOWN

    async def abandon(
        self, request: TrackedRequest, registered_attempt: RegisteredAttempt, ran: bool
    ) -> bool:
        """Report to the replicas that the attempt ended without an answer.

        Returns
        -------
        replaced : bool
            Whether a later attempt is responsible for this attempt's
            generations. False if no replica replied.
        """
        return await self._abandon(request, registered_attempt.nonce, ran)

    async def stop_previous(
        self, request: TrackedRequest, registered_attempt: RegisteredAttempt
    ) -> None:
        """Stop the attempt that was taken over and close its caller's connection."""
        previous = registered_attempt.previous_host
        if previous is None or previous == self._members.own_host:
            return
        message = peer_pb2.StopAttemptRequest(
            workspace=request.workspace,
            request_id=request.request_id,
            attempt=registered_attempt.number,
        )
        try:
            await self._peers.call(previous, "StopAttempt", message)
        except PeerError:
            self._metrics.count("home_messages_lost", rpc="StopAttempt")

    def _process_register_reply(
        self, request: TrackedRequest, reply: peer_pb2.RegisterReply, nonce: str
    ) -> Result[RegisteredAttempt, Refused | Failed]:
        failure = FAILURE_BY_DECISION.get(reply.decision)
        if failure is not None:
            return Error(failure)
        registered_attempt = RegisteredAttempt(
            Attempt(reply.attempt),
            nonce,
            reply.ran,
            HostName(reply.previous_host) if reply.previous_host else None,
            from_handles(reply.handles),
        )
        self._own_home.store_own(
            request.key, self._own_entry(request, registered_attempt)
        )
        return Ok(registered_attempt)

    def _may_have_majority(self, resume_deadline: Deadline) -> bool:
        """Return whether this host has the majority, or may after a pause."""
        is_resuming = self._members.is_resuming() and not resume_deadline.passed
        return self._members.has_majority or is_resuming

    def home_unreachable(self, request: TrackedRequest) -> Refused | Failed:
        """Return the failure of a request whose home did not reply.

        A request id that the caller chose may be running at another host, so
        only a generated id is refused as not run.
        """
        message = "the request's home did not answer"
        if request.generated_id:
            return Refused(Reason.OVERLOADED, HOME_UNREACHABLE_RETRY_S, message)
        return Failed(Reason.OVERLOADED, message, HOME_UNREACHABLE_RETRY_S)

    def _start_abandon(self, request: TrackedRequest, nonce: str, ran: bool) -> None:
        self._tasks.start(self._abandon(request, nonce, ran), "abandon")

    async def _abandon(self, request: TrackedRequest, nonce: str, ran: bool) -> bool:
        message = peer_pb2.AbandonRequest(
            workspace=request.workspace,
            request_id=request.request_id,
            host=self._members.own_host,
            nonce=nonce,
            ran=ran,
        )
        await self._own_home.abandon(message)
        replies = await asyncio.gather(
            *(
                self._call_with_retries(host, "Abandon", message, ABANDON_TRIES)
                for host in self._replicas(request.key)
            )
        )
        return any(reply is not None and reply.replaced for reply in replies)

    async def _first_hold_reply(
        self, key: str, message: peer_pb2.HoldRequest
    ) -> peer_pb2.HoldReply | None:
        """Return the first reply to a Hold call, or None if all calls failed."""
        replicas = self._replicas(key)
        own = self._members.own_host
        targets = [host for host in replicas if host != own] or replicas
        answers: asyncio.Queue[peer_pb2.HoldReply | None] = asyncio.Queue()

        async def call_host(host: HostName) -> None:
            reply: peer_pb2.HoldReply | None = None
            try:
                reply = await self._call_with_retries(host, "Hold", message, HOLD_TRIES)
            finally:
                # Put a reply also after an unexpected exception, so that the
                # caller does not wait forever. The task set logs the exception.
                answers.put_nowait(reply)

        for host in targets:
            self._tasks.start(call_host(host), "hold")
        for _ in targets:
            reply = await answers.get()
            if reply is not None:
                return reply
        return None

    async def _call_with_retries(
        self, host: HostName, rpc: str, message: Any, tries: int
    ) -> Any | None:
        for _ in range(tries):
            try:
                return await self._call(host, rpc, message)
            except PeerError:
                self._metrics.count("home_messages_lost", rpc=rpc)
                await asyncio.sleep(RETRY_PAUSE_S)
        return None

    async def _call_home(self, key: str, rpc: str, message: Any) -> Any | None:
        home = self._own_home.homes.replicas_of(key).home
        if home is None:
            return None
        try:
            return await self._call(home, rpc, message)
        except PeerError:
            self._metrics.count("home_messages_lost", rpc=rpc)
            return None

    async def _call(self, host: HostName, rpc: str, message: Any) -> Any:
        if host != self._members.own_host:
            return await self._peers.call(host, rpc, message)
        return await getattr(self._own_home, METHOD_BY_RPC[rpc])(message)

    def _replicas(self, key: str) -> list[HostName]:
        return [
            host for host in self._own_home.homes.replicas_of(key) if host is not None
        ]

    def _own_entry(
        self, request: TrackedRequest, registered_attempt: RegisteredAttempt
    ) -> Entry:
        own = self._members.own
        return Entry(
            own.host,
            own.incarnation,
            registered_attempt.number,
            registered_attempt.nonce,
            request.body_digest,
            handles=registered_attempt.previous_handles,
            ran=registered_attempt.ran,
        )

    def _register_message(
        self, request: TrackedRequest, nonce: str
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


def _request_deadline(request: TrackedRequest) -> Deadline:
    """Return the deadline of the calls to replicas.

    The first-token deadline does not limit a resumed request: its caller already
    holds a part of the answer and waits longer.
    """
    if request.resume_after is not None:
        return Deadline(REGISTER_TIMEOUT_S)
    return Deadline(min(request.first_token_due.remaining_s, REGISTER_TIMEOUT_S))


FAILURE_BY_DECISION = {
    peer_pb2.ALREADY_ANSWERED: Failed(
        Reason.ALREADY_ANSWERED, "this request id was answered before"
    ),
    peer_pb2.OTHER_BODY: Failed(
        Reason.DUPLICATE, "this request id was used for another request"
    ),
}
