"""Serves reservations of the pools whose admission home this host is.

The home of a pool is the first host in the pool's rendezvous order. Its book
is soft state: hosts announce what they hold when the home changes, and what
a dead host held is cancelled at the engines.
"""

from __future__ import annotations

import asyncio

from ..configuration.current import Configuration, CurrentConfiguration
from ..engines.registry import Engines
from ..membership.members import (
    Member,
    MemberState,
    MemberTable,
    departed_incarnation,
)
from ..metrics.registry import Metrics
from ..models.events import EventKind
from ..models.ids import HostName, Incarnation, PoolName, RequestId, ReservationId
from ..models.outcome import Refused
from ..peers import peer_pb2
from ..requests.aborts import AbortQueue
from ..timeline.recorder import Recorder
from ..utils.clock import MS_PER_S, monotonic
from ..utils.rendezvous import ranked
from ..utils.tasks import TaskSet
from .book import PoolBook
from .orphans import Orphans
from .wishes import Placed, Wish

TICK_S = 0.01
MAX_WAIT_S = 0.25


def admission_home(pool: PoolName, members: MemberTable) -> HostName:
    """Return the host that grants slots of a pool."""
    return HostName(ranked(f"pool/{pool}", members.zone_by_host())[0])


class AdmissionHome:
    """Grants slots of pools."""

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
        self._engines = engines
        self._aborts = aborts
        self._recorder = recorder
        self._metrics = metrics
        self._book_by_pool: dict[PoolName, PoolBook] = {}
        self._leaving_runners: frozenset[str] = frozenset()
        self._changed = asyncio.Condition()
        self._orphans = Orphans(
            current, members, engines, aborts, metrics, self._has_live_owner
        )
        current.subscribe(self._configure)
        members.subscribe(self._member_changed)

    def set_leaving_runners(self, names: frozenset[str]) -> None:
        """Give no new work to some runners."""
        self._leaving_runners = names
        for book in self._book_by_pool.values():
            book.closed = set(names)

    async def run(self, tasks: TaskSet) -> None:
        """Decide again at short intervals until cancelled."""
        tasks.start(self._orphans.run(), "orphans")
        while True:
            now = monotonic()
            for book in self._book_by_pool.values():
                if book.waiting_by_id:
                    book.decide(now)
            await self._wake()
            await asyncio.sleep(TICK_S)

    async def reserve(self, request: peer_pb2.ReserveRequest) -> peer_pb2.ReserveReply:
        """Grant or refuse a reservation, or answer that it still waits."""
        clock = self._recorder.clock
        clock.observe(request.stamp.wall_ms, request.stamp.counter)
        book = self._book_of_model(request.model)
        if book is None:
            return peer_pb2.ReserveReply(decision=peer_pb2.WRONG_HOME)
        wish = self._wish(request)
        book.ask(wish, monotonic())
        await self._decided(book, wish.reservation_id, request.wait_ms / MS_PER_S)
        reply = self._reply(book, wish.reservation_id)
        stamp = clock.tick()
        reply.stamp.wall_ms = stamp.wall_ms
        reply.stamp.counter = stamp.counter
        return reply

    async def progress(self, request: peer_pb2.ProgressRequest) -> peer_pb2.Nothing:
        """Take in what became of reservations."""
        now = monotonic()
        for item in request.items:
            reservation_id = ReservationId(item.reservation_id)
            for book in self._book_by_pool.values():
                if item.event == peer_pb2.PREFILL_ENDED:
                    book.prefill_ended(reservation_id, now)
                if item.event == peer_pb2.RELEASED:
                    book.release(reservation_id, now)
        await self._wake()
        return peer_pb2.Nothing()

    async def announce(self, request: peer_pb2.AnnounceRequest) -> peer_pb2.Nothing:
        """Take over reservations that an earlier home granted."""
        declaration = self._current.declaration
        book = self._book_by_pool.get(PoolName(request.pool))
        if declaration is None or book is None:
            return peer_pb2.Nothing()
        for held in request.held:
            model = declaration.model_by_name.get(held.model)
            if model is None:
                continue
            wish = Wish(
                ReservationId(held.reservation_id),
                RequestId(held.request_id),
                HostName(request.host),
                Incarnation(request.incarnation),
                model,
                held.prompt_tokens,
                held.max_tokens,
                (),
                monotonic(),
            )
            placed = Placed(
                wish, held.prefill_runner, held.decode_runner, held.prefill_ended
            )
            book.announce(placed, monotonic())
        return peer_pb2.Nothing()

    def _configure(self, configuration: Configuration) -> None:
        pools = configuration.declaration.engine_pools
        books = self._book_by_pool
        self._book_by_pool = {}
        for pool in pools:
            name = PoolName(pool.name)
            book = books.get(name)
            if book is None:
                book = PoolBook(pool)
            else:
                book.configure(pool)
            book.closed = set(self._leaving_runners)
            self._book_by_pool[name] = book

    def _has_live_owner(self, name: str) -> bool:
        """Tell whether a host that is not dead holds a reservation."""
        for book in self._book_by_pool.values():
            placed = book.placed_by_id.get(ReservationId(name))
            if placed is None:
                continue
            owner = self._members.by_host.get(placed.wish.host)
            return owner is not None and owner.state is not MemberState.DEAD
        return False

    def _member_changed(self, before: Member | None, after: Member) -> None:
        gone = departed_incarnation(before, after)
        if gone is None or not self._members.has_majority:
            return
        for book in self._book_by_pool.values():
            for reservation_id in book.of_host(after.host, gone):
                self._cancel(book, reservation_id)

    def _cancel(self, book: PoolBook, reservation_id: ReservationId) -> None:
        placed = book.release(reservation_id, monotonic())
        if placed is None:
            return
        declaration = self._current.declaration
        runners = declaration.runner_by_name if declaration else {}
        for name in (placed.prefill_runner, placed.decode_runner):
            if name in runners:
                self._aborts.add(runners[name].address, reservation_id)
        self._recorder.record(
            EventKind.CANCELLED, placed.wish.request_id, host=placed.wish.host
        )

    def _book_of_model(self, model: str) -> PoolBook | None:
        declaration = self._current.declaration
        found = declaration.model_by_name.get(model) if declaration else None
        return self._book_by_pool.get(PoolName(found.pool)) if found else None

    def _wish(self, request: peer_pb2.ReserveRequest) -> Wish:
        declaration = self._current.declaration
        assert declaration is not None
        return Wish(
            reservation_id=ReservationId(request.reservation_id),
            request_id=RequestId(request.request_id),
            host=HostName(request.host),
            incarnation=Incarnation(request.incarnation),
            model=declaration.model_by_name[request.model],
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.max_tokens,
            prefix_hashes=tuple(request.prefix_hashes),
            due=monotonic() + request.first_token_due_ms / MS_PER_S,
            excluded_runners=frozenset(request.excluded_runners),
        )

    async def _decided(
        self, book: PoolBook, reservation_id: ReservationId, wait_s: float
    ) -> None:
        try:
            async with asyncio.timeout(min(wait_s, MAX_WAIT_S)), self._changed:
                while reservation_id in book.waiting_by_id:
                    await self._changed.wait()
        except TimeoutError:
            return

    async def _wake(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    def _reply(
        self, book: PoolBook, reservation_id: ReservationId
    ) -> peer_pb2.ReserveReply:
        placed = book.placed_by_id.get(reservation_id)
        if placed is not None:
            return peer_pb2.ReserveReply(
                decision=peer_pb2.GRANTED,
                prefill_runner=placed.prefill_runner,
                decode_runner=placed.decode_runner,
            )
        refused = book.refused_by_id.pop(reservation_id, None)
        if refused is None:
            return peer_pb2.ReserveReply(decision=peer_pb2.QUEUED)
        return _refusal(refused)


def _refusal(refused: Refused) -> peer_pb2.ReserveReply:
    return peer_pb2.ReserveReply(
        decision=peer_pb2.REFUSED,
        reason=refused.reason.value,
        retry_after_ms=int(refused.retry_after_s * MS_PER_S),
    )
