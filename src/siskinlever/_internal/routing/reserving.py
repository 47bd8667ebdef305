"""The default policy: slots are reserved at the pool's admission home."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace

from expression import Error, Ok, Result

from ..configuration.current import Configuration, CurrentConfiguration
from ..exceptions import PeerError
from ..membership.members import Member, MemberTable
from ..metrics.registry import Metrics
from ..models.ids import HostName, PoolName, ReservationId
from ..models.outcome import Reason, Refused
from ..models.work import Grant, PlacementRequest
from ..peers import peer_pb2
from ..peers.link import Peers
from ..timeline.recorder import Recorder
from ..utils.clock import MS_PER_S, monotonic
from ..utils.tasks import TaskSet
from .home import AdmissionHome, admission_home
from .liveness import HomeLiveness
from .local_share import LocalShares
from .messages import parse_request
from .placement import Reservation
from .progress import ProgressReporter
from .reservations import GrantedReservation
from .retry_budget import RetryBudget

# Longest time that a home keeps a Reserve call open before it replies QUEUED.
WAIT_MS = 1000
RESERVE_TIMEOUT_S = 1.5
# Timeout of Progress and Announce calls; a Progress call is also the probe.
CALL_TIMEOUT_S = 0.15
# A reservation is no longer requested once its first token is overdue by this much.
MAX_LATENESS_S = 0.1


@dataclass(slots=True)
class HeldReservation:
    """A reservation that this host holds.

    Parameters
    ----------
    grant : Grant or None
        None until the reservation is granted.
    announced : bool
        False if the reservation was granted locally and has not been announced to
        the admission home yet.
    has_prefill_ended : bool
        Whether its prefill has ended.
    moved : bool
        Whether another host took it over and releases it.
    """

    owner: ReservingPlacement
    request: PlacementRequest
    grant: Grant = None  # type: ignore[assignment]
    announced: bool = True
    has_prefill_ended: bool = False
    moved: bool = False

    def prefill_ended(self) -> None:
        """Report to the admission home that the prefill has ended."""
        self.has_prefill_ended = True
        self.owner.report(self, peer_pb2.PREFILL_ENDED)

    def move(self) -> None:
        """Leave the release to the host that takes over the reservation."""
        self.moved = True


class ReservingPlacement:
    """Reserves slots at admission homes for the requests that this host serves."""

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
        self._retry_budget = RetryBudget()
        self._local_shares = LocalShares()
        self._progress = ProgressReporter(self._send_progress, tasks, metrics)
        self._held_by_id: dict[ReservationId, HeldReservation] = {}
        self._home_by_pool: dict[PoolName, HostName] = {}
        self._liveness = HomeLiveness(self._probe, tasks)
        members.subscribe(self._on_member_changed)
        current.subscribe(self._configured)

    @asynccontextmanager
    async def place(
        self, request: PlacementRequest
    ) -> AsyncIterator[Result[Reservation, Refused]]:
        """Hold a prefill and a decode slot while the context is open.

        Yields the reservation, or the refusal of the home, of the local share
        or of the retry budget.
        """
        if not self._may_attempt(request):
            yield Error(Refused(Reason.OVERLOADED, 1.0, "the retry budget is spent"))
            return
        held = HeldReservation(self, request)
        try:
            result = await self._reserve(held)
            if result.is_error():
                yield Error(result.error)
                return
            held.grant = result.ok
            self._held_by_id[request.reservation_id] = held
            yield Ok(held)
        finally:
            self._release(held)

    @asynccontextmanager
    async def adopt(
        self,
        request: PlacementRequest,
        reservation_id: ReservationId,
        prefill_runner: str,
        decode_runner: str,
    ) -> AsyncIterator[Reservation | None]:
        """Take over a reservation made by another host while the context is open.

        Yields None if its runners are no longer declared.
        """
        request = replace(request, reservation_id=reservation_id)
        granted = self._resolve_grant(request, prefill_runner, decode_runner)
        if granted.is_error():
            yield None
            return
        held = HeldReservation(self, request, granted.ok, has_prefill_ended=True)
        self._held_by_id[reservation_id] = held
        try:
            pool = PoolName(request.model.pool)
            await self._announce(pool, admission_home(pool, self._members))
            yield held
        finally:
            self._release(held)

    def _release(self, held: HeldReservation) -> None:
        reservation_id = held.request.reservation_id
        if self._held_by_id.get(reservation_id) is held:
            del self._held_by_id[reservation_id]
        if not held.moved:
            self.report(held, peer_pb2.RELEASED)

    def report(self, held: HeldReservation, event: peer_pb2.ReservationEvent) -> None:
        """Report an event of a reservation to the local share and the admission home.

        Either may have granted it. The local share is updated at once, and the
        home is notified in the background.
        """
        reservation_id = held.request.reservation_id
        pool = PoolName(held.request.model.pool)
        if event == peer_pb2.PREFILL_ENDED:
            self._local_shares.prefill_ended(pool, reservation_id)
        else:
            self._local_shares.release(pool, reservation_id)
        item = peer_pb2.ProgressItem(reservation_id=reservation_id, event=event)
        self._progress.report(pool, item)

    def _may_attempt(self, request: PlacementRequest) -> bool:
        if not request.excluded_runners:
            self._retry_budget.earn()
            return True
        allowed = self._retry_budget.spend()
        self._metrics.count("retries", allowed=str(allowed).lower())
        return allowed

    async def _reserve(self, held: HeldReservation) -> Result[Grant, Refused]:
        request = held.request
        pool = PoolName(request.model.pool)
        due = request.first_token_due
        while due.remaining_s > -MAX_LATENESS_S:
            home = admission_home(pool, self._members)
            try:
                reply = await self._request_reservation(home, request)
            except PeerError:
                return await self._reserve_locally(held)
            self._recorder.clock.observe(reply.stamp.wall_ms, reply.stamp.counter)
            if reply.decision == peer_pb2.GRANTED:
                return self._resolve_grant(
                    request, reply.prefill_runner, reply.decode_runner
                )
            if reply.decision == peer_pb2.REFUSED:
                return Error(
                    Refused(
                        Reason(reply.reason),
                        reply.retry_after_ms / MS_PER_S,
                        "the request would miss its first-token target",
                    )
                )
            if reply.decision == peer_pb2.WRONG_HOME:
                return await self._reserve_locally(held)
        return Error(Refused(Reason.TOO_LATE, 1.0, "waited past the target"))

    async def _request_reservation(
        self, home: HostName, request: PlacementRequest
    ) -> peer_pb2.ReserveReply:
        message = self._message(request)
        if home == self._members.own_host:
            return await self._own_home.reserve(message)
        if self._liveness.is_unresponsive(home):
            raise PeerError(f"{home} did not answer a recent probe")
        call = self._peers.call(home, "Reserve", message, RESERVE_TIMEOUT_S)
        return await self._liveness.call(home, call)

    async def _probe(self, home: HostName) -> None:
        """Call a home with an empty progress report, which it answers at once."""
        own = self._members.own
        message = peer_pb2.ProgressRequest(host=own.host, incarnation=own.incarnation)
        await self._peers.call(home, "Progress", message, CALL_TIMEOUT_S)

    async def _reserve_locally(self, held: HeldReservation) -> Result[Grant, Refused]:
        """Reserve from this host's share of the slots, as the home is not available."""
        self._metrics.count("local_reservations")
        declaration = self._current.declaration
        request = held.request
        pool = declaration.pool_by_name.get(request.model.pool) if declaration else None
        if pool is None:
            return Error(Refused(Reason.NO_RUNNER, 1.0, "the pool is not declared"))
        now = monotonic()
        requested = parse_request(self._message(request), request.model, now)
        hosts = len(self._members.zone_by_host())
        local_decision = await self._local_shares.reserve(
            pool, hosts, requested, self._held_in_pool(PoolName(pool.name))
        )
        if isinstance(local_decision, Refused):
            return Error(local_decision)
        held.announced = False
        return self._resolve_grant(
            request, local_decision.prefill_runner, local_decision.decode_runner
        )

    def _held_in_pool(self, pool: PoolName) -> list[GrantedReservation]:
        now = monotonic()
        return [
            GrantedReservation(
                parse_request(self._message(held.request), held.request.model, now),
                held.grant.prefill.name,
                held.grant.decode.name,
                held.has_prefill_ended,
            )
            for held in self._held_by_id.values()
            if held.request.model.pool == pool
        ]

    def _resolve_grant(
        self, request: PlacementRequest, prefill_runner: str, decode_runner: str
    ) -> Result[Grant, Refused]:
        declaration = self._current.declaration
        runners = declaration.runner_by_name if declaration else {}
        prefill = runners.get(prefill_runner)
        decode = runners.get(decode_runner)
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

    async def _send_progress(
        self, pool: PoolName, items: list[peer_pb2.ProgressItem]
    ) -> None:
        own = self._members.own
        message = peer_pb2.ProgressRequest(
            host=own.host, incarnation=own.incarnation, items=items
        )
        home = admission_home(pool, self._members)
        await self._announce_local_grants(pool, home)
        await self._call(home, "Progress", message)

    async def _call(
        self,
        home: HostName,
        rpc: str,
        message: peer_pb2.ProgressRequest | peer_pb2.AnnounceRequest,
    ) -> None:
        if home != self._members.own_host:
            await self._peers.call(home, rpc, message, CALL_TIMEOUT_S)
        elif isinstance(message, peer_pb2.AnnounceRequest):
            await self._own_home.announce(message)
        else:
            await self._own_home.progress(message)

    def _configured(self, configuration: Configuration) -> None:
        self._update_homes()

    def _on_member_changed(self, before: Member | None, after: Member) -> None:
        self._update_homes()

    def _update_homes(self) -> None:
        declaration = self._current.declaration
        if declaration is None:
            return
        for pool in declaration.engine_pools:
            name = PoolName(pool.name)
            home = admission_home(name, self._members)
            if self._home_by_pool.get(name) != home:
                self._home_by_pool[name] = home
                self._tasks.start(self._announce(name, home), "announce")

    async def _announce_local_grants(self, pool: PoolName, home: HostName) -> None:
        """Announce all reservations held in a pool if some were granted locally."""
        unannounced = [
            held
            for held in self._held_by_id.values()
            if not held.announced and held.request.model.pool == pool
        ]
        if unannounced:
            await self._announce(pool, home)

    async def _announce(self, pool: PoolName, home: HostName) -> None:
        own = self._members.own
        held_reservations = [
            h for h in self._held_by_id.values() if h.request.model.pool == pool
        ]
        message = peer_pb2.AnnounceRequest(
            host=own.host,
            incarnation=own.incarnation,
            pool=pool,
            held=[_held_message(held) for held in held_reservations],
        )
        try:
            await self._call(home, "Announce", message)
        except PeerError:
            self._metrics.count("announce_failures")
            return
        for held in held_reservations:
            held.announced = True


def _held_message(held: HeldReservation) -> peer_pb2.Held:
    return peer_pb2.Held(
        reservation_id=held.request.reservation_id,
        request_id=held.request.request_id,
        model=held.request.model.name,
        prefill_runner=held.grant.prefill.name,
        decode_runner=held.grant.decode.name,
        prefill_ended=held.has_prefill_ended,
        prompt_tokens=held.request.prompt_tokens,
        max_tokens=held.request.max_tokens,
    )
