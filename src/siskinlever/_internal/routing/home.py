"""Grants reservations for the pools whose admission home is this host.

The home of a pool is the first host in the pool's rendezvous order. Its
scheduler is soft state: when the home changes, hosts announce the reservations
that they hold. The reservations of a dead host are cancelled at the engines.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass

from ..configuration.current import Configuration, CurrentConfiguration
from ..engines.registry import Engines
from ..membership.members import (
    Member,
    MemberState,
    MemberTable,
    departed_incarnation,
)
from ..metrics.registry import Metrics
from ..models.declaration import EnginePool
from ..models.events import EventKind
from ..models.ids import HostName, PoolName, ReservationId
from ..peers import peer_pb2
from ..requests.aborts import AbortQueue
from ..timeline.recorder import Recorder
from ..utils.clock import MS_PER_S, monotonic
from ..utils.duties import Duties
from ..utils.rendezvous import ranked
from ..utils.tasks import TaskSet
from .messages import parse_held, parse_request, refusal
from .orphans import OrphanSweeper
from .runner_monitor import RunnerMonitor
from .scheduler import PoolScheduler
from .takeover import HomeTakeover

TICK_S = 0.01
IDLE_TICK_S = 0.25
# Upper bound of the time that a Reserve call waits for a decision.
MAX_WAIT_S = 1.0


def admission_home(pool: PoolName, members: MemberTable) -> HostName:
    """Return the host that grants a pool's slots.

    Returns this host if no member is a candidate.
    """
    candidates = members.zone_by_host() or {members.own_host: members.own.zone}
    return HostName(ranked(f"pool/{pool}", candidates)[0])


@dataclass(slots=True)
class PoolState:
    """State of one pool on this host, whether or not the host is its home."""

    scheduler: PoolScheduler
    takeover: HomeTakeover
    is_home: bool = False

    @classmethod
    def of(cls, pool: EnginePool) -> PoolState:
        """Return the state of a pool without reservations."""
        scheduler = PoolScheduler(pool)
        return cls(scheduler, HomeTakeover(scheduler))

    @property
    def has_pending_work(self) -> bool:
        """Whether requests are queued or announcements are missing."""
        return bool(self.scheduler.waiting_by_id) or self.takeover.is_pending


class AdmissionHome:
    """Grants or refuses reservations for the pools whose home is this host."""

    def __init__(
        self,
        current: CurrentConfiguration,
        members: MemberTable,
        engines: Engines,
        aborts: AbortQueue,
        recorder: Recorder,
        metrics: Metrics,
    ) -> None:
        self._current = current
        self._members = members
        self._aborts = aborts
        self._recorder = recorder
        self._metrics = metrics
        self._monitor = RunnerMonitor(self.schedulers, engines, metrics)
        self._orphans = OrphanSweeper(
            current, members, engines, aborts, metrics, self._has_live_owner
        )
        self._leaving_runners: frozenset[str] = frozenset()
        self._state_by_pool: dict[PoolName, PoolState] = {}
        self._event_by_id: dict[ReservationId, asyncio.Event] = {}
        self._request_arrived = asyncio.Event()
        current.subscribe(self._configure)
        members.subscribe(self._on_member_changed)

    def schedulers(self) -> list[PoolScheduler]:
        """Return the schedulers of the pools whose home is this host."""
        return [
            state.scheduler for state in self._state_by_pool.values() if state.is_home
        ]

    def set_leaving_runners(self, names: frozenset[str]) -> None:
        """Set the runners that get no new work because they are leaving."""
        self._leaving_runners = names
        for state in self._state_by_pool.values():
            state.scheduler.leaving = set(names)

    def start(self, duties: Duties, tasks: TaskSet) -> None:
        """Decide on waiting requests; single calls are started in ``tasks``."""
        duties.start("runner-watch", lambda: self._monitor.run(tasks))
        duties.start("orphans", self._orphans.run)
        duties.start("admission-home", self._decide_on_ticks)

    async def _decide_on_ticks(self) -> None:
        while True:
            now = monotonic()
            for state in self._state_by_pool.values():
                state.takeover.expire(now)
                if state.scheduler.waiting_by_id:
                    state.scheduler.decide(now)
            self._wake_waiters()
            await self._wait_for_tick()

    async def _wait_for_tick(self) -> None:
        """Wait for the next tick, or for a request while the queues are empty."""
        if any(state.has_pending_work for state in self._state_by_pool.values()):
            await asyncio.sleep(TICK_S)
            return
        self._request_arrived.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(IDLE_TICK_S):
                await self._request_arrived.wait()

    async def reserve(self, request: peer_pb2.ReserveRequest) -> peer_pb2.ReserveReply:
        """Grant or refuse a reservation, or reply that it is still queued."""
        clock = self._recorder.clock
        clock.observe(request.stamp.wall_ms, request.stamp.counter)
        reply = await self._submit_and_wait(request)
        decision = peer_pb2.ReserveDecision.Name(reply.decision).lower()
        self._metrics.count("admission_decisions", decision=decision)
        stamp = clock.tick()
        reply.stamp.wall_ms = stamp.wall_ms
        reply.stamp.counter = stamp.counter
        return reply

    async def progress(self, request: peer_pb2.ProgressRequest) -> peer_pb2.Nothing:
        """Process reports of ended prefills and released reservations."""
        now = monotonic()
        for item in request.items:
            reservation_id = ReservationId(item.reservation_id)
            for state in self._state_by_pool.values():
                if item.event == peer_pb2.PREFILL_ENDED:
                    state.scheduler.prefill_ended(reservation_id, now)
                if item.event == peer_pb2.RELEASED:
                    state.scheduler.release(reservation_id, now)
        self._wake_waiters()
        return peer_pb2.Nothing()

    async def announce(self, request: peer_pb2.AnnounceRequest) -> peer_pb2.Nothing:
        """Add reservations that an earlier home or the sending host granted."""
        declaration = self._current.declaration
        state = self._state_by_pool.get(PoolName(request.pool))
        if declaration is None or state is None:
            return peer_pb2.Nothing()
        now = monotonic()
        for held in request.held:
            model = declaration.model_by_name.get(held.model)
            if model is not None:
                state.scheduler.announce(parse_held(request, held, model, now), now)
        state.takeover.announced(HostName(request.host), now)
        return peer_pb2.Nothing()

    async def _submit_and_wait(
        self, request: peer_pb2.ReserveRequest
    ) -> peer_pb2.ReserveReply:
        declaration = self._current.declaration
        model = declaration.model_by_name.get(request.model) if declaration else None
        state = self._state_by_pool.get(PoolName(model.pool)) if model else None
        if model is None or state is None or not state.is_home:
            return peer_pb2.ReserveReply(decision=peer_pb2.WRONG_HOME)
        now = monotonic()
        requested = parse_request(request, model, now)
        state.scheduler.submit(requested, now)
        self._request_arrived.set()
        self._wake_waiters()
        wait_s = min(request.wait_ms / MS_PER_S, MAX_WAIT_S)
        await self._wait_for_decision(state.scheduler, requested.reservation_id, wait_s)
        return self._reply(state.scheduler, requested.reservation_id)

    async def _wait_for_decision(
        self, scheduler: PoolScheduler, reservation_id: ReservationId, wait_s: float
    ) -> None:
        if reservation_id not in scheduler.waiting_by_id:
            return
        with self._waiter(reservation_id) as decided:
            try:
                async with asyncio.timeout(wait_s):
                    await decided.wait()
            except TimeoutError:
                return

    @contextmanager
    def _waiter(self, reservation_id: ReservationId) -> Iterator[asyncio.Event]:
        event = asyncio.Event()
        self._event_by_id[reservation_id] = event
        try:
            yield event
        finally:
            if self._event_by_id.get(reservation_id) is event:
                del self._event_by_id[reservation_id]

    def _wake_waiters(self) -> None:
        """Wake the calls whose reservations are no longer queued."""
        schedulers = self.schedulers()
        for reservation_id, event in self._event_by_id.items():
            if not any(
                reservation_id in scheduler.waiting_by_id for scheduler in schedulers
            ):
                event.set()

    def _reply(
        self, scheduler: PoolScheduler, reservation_id: ReservationId
    ) -> peer_pb2.ReserveReply:
        granted = scheduler.granted_by_id.get(reservation_id)
        if granted is not None:
            return peer_pb2.ReserveReply(
                decision=peer_pb2.GRANTED,
                prefill_runner=granted.prefill_runner,
                decode_runner=granted.decode_runner,
            )
        refused = scheduler.refused_by_id.pop(reservation_id, None)
        if refused is None:
            return peer_pb2.ReserveReply(decision=peer_pb2.QUEUED)
        return refusal(refused)

    def _configure(self, configuration: Configuration) -> None:
        states = self._state_by_pool
        self._state_by_pool = {}
        for pool in configuration.declaration.engine_pools:
            name = PoolName(pool.name)
            state = states.get(name)
            if state is None:
                state = PoolState.of(pool)
            else:
                state.scheduler.configure(pool)
            state.scheduler.leaving = set(self._leaving_runners)
            self._state_by_pool[name] = state
        self._update_homes()

    def _update_homes(self) -> None:
        """Recompute which pools have their home on this host.

        A new home starts a takeover; a former home discards its state.
        """
        now = monotonic()
        for name, state in self._state_by_pool.items():
            is_home = admission_home(name, self._members) == self._members.own_host
            if is_home and not state.is_home:
                state.is_home = True
                hosts = [m.host for m in self._members.alive()]
                state.takeover.begin(hosts, now)
                self._metrics.count("admission_homes_taken")
            if not is_home and state.is_home:
                empty = PoolState.of(state.scheduler.pool)
                empty.scheduler.leaving = set(self._leaving_runners)
                self._state_by_pool[name] = empty
        self._wake_waiters()

    def _has_live_owner(self, reservation_id: str) -> bool:
        """Return whether a host that is not dead holds the reservation."""
        for state in self._state_by_pool.values():
            granted = state.scheduler.granted_by_id.get(ReservationId(reservation_id))
            if granted is None:
                continue
            owner = self._members.by_host.get(granted.requested.host)
            return owner is not None and owner.state is not MemberState.DEAD
        return False

    def _on_member_changed(self, before: Member | None, after: Member) -> None:
        self._update_homes()
        departed = departed_incarnation(before, after)
        if departed is None or not self._members.has_majority:
            return
        for state in self._state_by_pool.values():
            for reservation_id in state.scheduler.reservations_of(after.host, departed):
                self._cancel(state.scheduler, reservation_id)

    def _cancel(self, scheduler: PoolScheduler, reservation_id: ReservationId) -> None:
        granted = scheduler.release(reservation_id, monotonic())
        if granted is None:
            return
        declaration = self._current.declaration
        runners = declaration.runner_by_name if declaration else {}
        for name in (granted.prefill_runner, granted.decode_runner):
            if name in runners:
                self._aborts.add(runners[name].address, reservation_id)
        self._recorder.record(
            EventKind.CANCELLED,
            granted.requested.request_id,
            host=granted.requested.host,
        )
