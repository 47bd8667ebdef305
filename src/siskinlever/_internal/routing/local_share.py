"""Grants a host's own share of a pool while the admission home is silent."""

from __future__ import annotations

import asyncio

from ..models.declaration import EnginePool
from ..models.ids import PoolName, ReservationId
from ..models.outcome import Refused
from ..utils.clock import monotonic
from .book import PoolBook
from .wishes import Placed, Wish

DECIDE_PERIOD_S = 0.01


def share_of(pool: EnginePool, hosts: int) -> EnginePool:
    """Return a pool with an equal share of each runner's slots, at least one."""
    runners = tuple(
        runner.model_copy(update={"slots": max(1, runner.slots // max(hosts, 1))})
        for runner in pool.runners
    )
    return pool.model_copy(update={"runners": runners})


class LocalShares:
    """One book for each pool, over this host's share of the slots."""

    def __init__(self) -> None:
        self._book_by_pool: dict[PoolName, PoolBook] = {}

    async def reserve(
        self, pool: EnginePool, hosts: int, wish: Wish, held: list[Placed]
    ) -> Placed | Refused:
        """Grant or refuse a reservation out of the local share.

        Parameters
        ----------
        held : list of Placed
            What this host holds by grants of the home: it counts.
        """
        book = self._book(pool, hosts, held)
        book.ask(wish, monotonic())
        while wish.reservation_id in book.waiting_by_id:
            await asyncio.sleep(DECIDE_PERIOD_S)
            book.decide(monotonic())
        refused = book.refused_by_id.pop(wish.reservation_id, None)
        return refused or book.placed_by_id[wish.reservation_id]

    def prefill_ended(self, pool: PoolName, reservation_id: ReservationId) -> None:
        """Note that a prefill ended."""
        book = self._book_by_pool.get(pool)
        if book is not None:
            book.prefill_ended(reservation_id, monotonic())

    def release(self, pool: PoolName, reservation_id: ReservationId) -> None:
        """Free all that a reservation holds."""
        book = self._book_by_pool.get(pool)
        if book is not None:
            book.release(reservation_id, monotonic())

    def _book(self, pool: EnginePool, hosts: int, held: list[Placed]) -> PoolBook:
        share = share_of(pool, hosts)
        name = PoolName(pool.name)
        book = self._book_by_pool.get(name)
        if book is None:
            book = self._book_by_pool[name] = PoolBook(share)
        elif book.pool != share:
            book.configure(share)
        for placed in held:
            book.announce(placed, monotonic())
        return book
