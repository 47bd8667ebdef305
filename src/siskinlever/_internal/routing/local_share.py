"""Grants slots from a host's share of a pool while its home is unresponsive."""

from __future__ import annotations

import asyncio

from ..models.declaration import EnginePool
from ..models.ids import PoolName, ReservationId
from ..models.outcome import Refused
from ..utils.clock import monotonic
from .reservations import GrantedReservation, ReservationRequest
from .scheduler import PoolScheduler

DECIDE_PERIOD_S = 0.01


def share_of(pool: EnginePool, hosts: int) -> EnginePool:
    """Return a pool reduced to one host's equal share of each runner's slots.

    The share of a runner is rounded down, but at least one slot.
    """
    runners = tuple(
        runner.model_copy(update={"slots": max(1, runner.slots // max(hosts, 1))})
        for runner in pool.runners
    )
    return pool.model_copy(update={"runners": runners})


class LocalShares:
    """One scheduler for each pool, limited to this host's share of the slots."""

    def __init__(self) -> None:
        self._scheduler_by_pool: dict[PoolName, PoolScheduler] = {}

    async def reserve(
        self,
        pool: EnginePool,
        hosts: int,
        requested: ReservationRequest,
        held: list[GrantedReservation],
    ) -> GrantedReservation | Refused:
        """Grant or refuse a reservation from the local share.

        Waits until the request is decided.

        Parameters
        ----------
        hosts : int
            Number of hosts that share the pool.
        held : list of GrantedReservation
            All reservations that this host holds in the pool, whether granted by
            a home or locally; they count against the share.
        """
        scheduler = self._scheduler(pool, hosts, held)
        scheduler.submit(requested, monotonic())
        while requested.reservation_id in scheduler.waiting_by_id:
            await asyncio.sleep(DECIDE_PERIOD_S)
            scheduler.decide(monotonic())
        refused = scheduler.refused_by_id.pop(requested.reservation_id, None)
        return refused or scheduler.granted_by_id[requested.reservation_id]

    def prefill_ended(self, pool: PoolName, reservation_id: ReservationId) -> None:
        """Mark a prefill as ended."""
        scheduler = self._scheduler_by_pool.get(pool)
        if scheduler is not None:
            scheduler.prefill_ended(reservation_id, monotonic())

    def release(self, pool: PoolName, reservation_id: ReservationId) -> None:
        """Remove a reservation and free its slots."""
        scheduler = self._scheduler_by_pool.get(pool)
        if scheduler is not None:
            scheduler.release(reservation_id, monotonic())

    def _scheduler(
        self, pool: EnginePool, hosts: int, held: list[GrantedReservation]
    ) -> PoolScheduler:
        share = share_of(pool, hosts)
        name = PoolName(pool.name)
        scheduler = self._scheduler_by_pool.get(name)
        if scheduler is None:
            scheduler = self._scheduler_by_pool[name] = PoolScheduler(share)
        elif scheduler.pool != share:
            scheduler.configure(share)
        for granted in held:
            scheduler.announce(granted, monotonic())
        return scheduler
