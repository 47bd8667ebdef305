"""The policy of siskinlever: slots are reserved at the pool's admission home."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace

from expression import Error, Ok, Result

from ..configuration.current import CurrentConfiguration
from ..exceptions import PeerError
from ..membership.members import Member, MemberTable
from ..metrics.registry import Metrics
from ..models.ids import HostName, PoolName, ReservationId
from ..models.outcome import Reason, Refused
from ..models.work import Grant, PlacementRequest
from ..peers import peer_pb2
from ..peers.link import Peers
from ..timeline.recorder import Recorder
from ..utils.clock import MS_PER_S, Deadline
from ..utils.tasks import TaskSet
from .home import AdmissionHome, admission_home
from .placement import Reservation

WAIT_MS = 200
CALL_TIMEOUT_S = 0.4
PROGRESS_PAUSE_S = 0.002
PROGRESS_TRIES = 5
HOME_SILENT_RETRY_S = 1.0


@dataclass(slots=True)
class HeldReservation:
    """A reservation that this host holds."""

    owner: ReservingPlacement
    request: PlacementRequest
    grant: Grant
    prefill_done: bool = False
    moved: bool = False

    def prefill_ended(self) -> None:
        """Note that the prefill runner is free for others."""
        self.prefill_done = True
        self.owner.report(self, peer_pb2.PREFILL_ENDED)

    def move(self) -> None:
        """Leave the release to the host that takes over."""
        self.moved = True


class ReservingPlacement:
    """Reserves slots at admission homes for requests served here."""

    def __init__(
        self,
        current: CurrentConfiguration,
        members: MemberTable,
        peers: Peers,
        own_home: AdmissionHome,
        recorder: Recorder,
        metrics: Metrics,
        tasks: TaskSet,
    ) -> None:
        self._current = current
        self._members = members
        self._peers = peers
        self._own_home = own_home
        self._recorder = recorder
        self._metrics = metrics
        self._tasks = tasks
        self._held_by_id: dict[ReservationId, HeldReservation] = {}
        self._home_by_pool: dict[PoolName, HostName] = {}
        members.subscribe(self._member_changed)

    @asynccontextmanager
    async def place(
        self, request: PlacementRequest
    ) -> AsyncIterator[Result[Reservation, Refused]]:
        """Hold a prefill and a decode slot for the length of a block."""
        pool = PoolName(request.model.pool)
        asked = HeldReservation(self, request, None)  # type: ignore[arg-type]
        try:
            result = await self._reserve(pool, request)
            if result.is_error():
                yield Error(result.error)
                return
            asked.grant = result.ok
            self._held_by_id[request.reservation_id] = asked
            yield Ok(asked)
        finally:
            self._let_go(asked)

    @asynccontextmanager
    async def adopt(
        self,
        request: PlacementRequest,
        reservation_id: ReservationId,
        prefill_runner: str,
        decode_runner: str,
    ) -> AsyncIterator[Reservation | None]:
        """Hold a reservation made by another host for the length of a block."""
        declaration = self._current.declaration
        runners = declaration.runner_by_name if declaration else {}
        prefill = runners.get(prefill_runner)
        decode = runners.get(decode_runner)
        if prefill is None or decode is None:
            yield None
            return
        request = replace(request, reservation_id=reservation_id)
        grant = Grant(reservation_id, prefill, decode)
        held = HeldReservation(self, request, grant, prefill_done=True)
        self._held_by_id[reservation_id] = held
        try:
            pool = PoolName(request.model.pool)
            await self._announce(pool, admission_home(pool, self._members))
            yield held
        finally:
            self._let_go(held)

    def _let_go(self, held: HeldReservation) -> None:
        reservation_id = held.request.reservation_id
        if self._held_by_id.get(reservation_id) is held:
            del self._held_by_id[reservation_id]
        if not held.moved:
            self.report(held, peer_pb2.RELEASED)

    def report(self, held: HeldReservation, event: peer_pb2.ReservationEvent) -> None:
        """Tell the admission home what became of a reservation."""
        item = peer_pb2.ProgressItem(
            reservation_id=held.request.reservation_id, event=event
        )
        pool = PoolName(held.request.model.pool)
        self._tasks.start(self._send_progress(pool, item), "progress")

    async def _send_progress(self, pool: PoolName, item: peer_pb2.ProgressItem) -> None:
        own = self._members.own
        message = peer_pb2.ProgressRequest(
            host=own.host, incarnation=own.incarnation, items=[item]
        )
        for _ in range(PROGRESS_TRIES):
            try:
                await self._call(pool, "Progress", message)
                return
            except PeerError:
                await asyncio.sleep(CALL_TIMEOUT_S)

    async def _reserve(
        self, pool: PoolName, request: PlacementRequest
    ) -> Result[Grant, Refused]:
        limit = Deadline(request.first_token_due.remaining_s)
        while True:
            try:
                reply = await self._call(pool, "Reserve", self._message(request))
            except PeerError:
                if limit.passed:
                    return Error(
                        Refused(
                            Reason.OVERLOADED,
                            HOME_SILENT_RETRY_S,
                            "the pool's admission home did not answer",
                        )
                    )
                continue
            self._recorder.clock.observe(reply.stamp.wall_ms, reply.stamp.counter)
            if reply.decision == peer_pb2.GRANTED:
                return self._granted(request, reply)
            if reply.decision == peer_pb2.REFUSED:
                return Error(
                    Refused(
                        Reason(reply.reason),
                        reply.retry_after_ms / MS_PER_S,
                        "the request would miss its first-token target",
                    )
                )
            if reply.decision == peer_pb2.WRONG_HOME:
                await asyncio.sleep(CALL_TIMEOUT_S)
            if limit.passed:
                return Error(Refused(Reason.TOO_LATE, 1.0, "waited past the target"))

    def _granted(
        self, request: PlacementRequest, reply: peer_pb2.ReserveReply
    ) -> Result[Grant, Refused]:
        declaration = self._current.declaration
        runners = declaration.runner_by_name if declaration else {}
        prefill = runners.get(reply.prefill_runner)
        decode = runners.get(reply.decode_runner)
        if prefill is None or decode is None:
            return Error(Refused(Reason.NO_RUNNER, 1.0, "the runner is not declared"))
        return Ok(Grant(request.reservation_id, prefill, decode))

    def _message(self, request: PlacementRequest) -> peer_pb2.ReserveRequest:
        own = self._members.own
        stamp = self._recorder.clock.tick()
        return peer_pb2.ReserveRequest(
            reservation_id=request.reservation_id,
            request_id=request.request_id,
            host=own.host,
            incarnation=own.incarnation,
            model=request.model.name,
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.max_tokens,
            prefix_hashes=request.prefix_hashes,
            first_token_due_ms=int(request.first_token_due.remaining_s * MS_PER_S),
            wait_ms=WAIT_MS,
            stamp=peer_pb2.Stamp(wall_ms=stamp.wall_ms, counter=stamp.counter),
            excluded_runners=sorted(request.excluded_runners),
        )

    async def _call(
        self,
        pool: PoolName,
        rpc: str,
        message: peer_pb2.ReserveRequest | peer_pb2.ProgressRequest,
    ) -> peer_pb2.ReserveReply:
        home = admission_home(pool, self._members)
        if home != self._members.own_host:
            reply: peer_pb2.ReserveReply = await self._peers.call(
                home, rpc, message, CALL_TIMEOUT_S
            )
            return reply
        if isinstance(message, peer_pb2.ReserveRequest):
            return await self._own_home.reserve(message)
        await self._own_home.progress(message)
        return peer_pb2.ReserveReply()

    def _member_changed(self, before: Member | None, after: Member) -> None:
        declaration = self._current.declaration
        if declaration is None:
            return
        for pool in declaration.engine_pools:
            name = PoolName(pool.name)
            home = admission_home(name, self._members)
            if self._home_by_pool.get(name) != home:
                self._home_by_pool[name] = home
                self._tasks.start(self._announce(name, home), "announce")

    async def _announce(self, pool: PoolName, home: HostName) -> None:
        own = self._members.own
        held = [
            peer_pb2.Held(
                reservation_id=h.request.reservation_id,
                request_id=h.request.request_id,
                model=h.request.model.name,
                prefill_runner=h.grant.prefill.name,
                decode_runner=h.grant.decode.name,
                prefill_ended=h.prefill_done,
                prompt_tokens=h.request.prompt_tokens,
                max_tokens=h.request.max_tokens,
            )
            for h in self._held_by_id.values()
            if h.request.model.pool == pool
        ]
        message = peer_pb2.AnnounceRequest(
            host=own.host, incarnation=own.incarnation, pool=pool, held=held
        )
        try:
            if home == own.host:
                await self._own_home.announce(message)
            else:
                await self._peers.call(home, "Announce", message)
        except PeerError:
            self._metrics.count("announce_failures")
