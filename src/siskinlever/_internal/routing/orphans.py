"""Cancels generations that still run at engines although their host is gone.

This is the last resort after request homes and admission homes, which cancel the
generations that they have on record. The sweep reads the running generations from
the engines themselves, so it also finds those of which no living host has a record.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from ..configuration.current import CurrentConfiguration
from ..engines.registry import Engines
from ..exceptions import EngineError
from ..membership.members import MemberState, MemberTable
from ..metrics.registry import Metrics
from ..models.declaration import Runner
from ..models.ids import HostName, PoolName
from ..requests.aborts import AbortQueue
from ..utils.rendezvous import ranked

SWEEP_PERIOD_S = 1.0
# Load reports lag, so a single report may contain a generation that has ended.
MIN_SIGHTINGS = 2


class EngineRequest(NamedTuple):
    """A generation in the load report of an engine."""

    address: str
    engine_request_id: str


class OrphanSweeper:
    """Sweeps the engines of the pools whose admission home is this host.

    Parameters
    ----------
    current : CurrentConfiguration
    members : MemberTable
    engines : Engines
    aborts : AbortQueue
    metrics : Metrics
    has_owner : callable
        Returns whether a living host holds the reservation with this id. The
        host may differ from the one in the id's prefix if it took the
        reservation over.
    """

    def __init__(
        self,
        current: CurrentConfiguration,
        members: MemberTable,
        engines: Engines,
        aborts: AbortQueue,
        metrics: Metrics,
        has_owner: Callable[[str], bool],
    ) -> None:
        self._current = current
        self._members = members
        self._engines = engines
        self._aborts = aborts
        self._metrics = metrics
        self._has_owner = has_owner
        self._sightings_by_request: dict[EngineRequest, int] = {}

    async def run(self) -> None:
        """Sweep every `SWEEP_PERIOD_S` until cancelled.

        Nothing is cancelled while this host is not in contact with a majority.
        """
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            if self._members.has_majority:
                await self.sweep()

    async def sweep(self) -> None:
        """Read the engines' reports once and cancel orphans that persist.

        An orphan is cancelled once it is seen in `MIN_SIGHTINGS` sweeps in a row.
        """
        reports = await asyncio.gather(*(self._read(r) for r in self._runners()))
        orphans = [
            request
            for report in reports
            for request in report
            if self._is_orphan(request)
        ]
        self._sightings_by_request = {
            request: self._sightings_by_request.get(request, 0) + 1
            for request in orphans
        }
        for request, sightings in self._sightings_by_request.items():
            if sightings >= MIN_SIGHTINGS:
                self._metrics.count("orphans_cancelled")
                self._aborts.add(request.address, request.engine_request_id)

    def _runners(self) -> list[Runner]:
        declaration = self._current.declaration
        pools = declaration.engine_pools if declaration else ()
        return [r for p in pools if self._is_home(PoolName(p.name)) for r in p.runners]

    def _is_home(self, pool: PoolName) -> bool:
        order = ranked(f"pool/{pool}", self._members.zone_by_host())
        return order[:1] == [self._members.own_host]

    async def _read(self, runner: Runner) -> list[EngineRequest]:
        try:
            report = await self._engines.at(runner.address).load()
        except EngineError:
            return []
        return [
            EngineRequest(runner.address, request_id)
            for request_id in report.request_ids
        ]

    def _is_orphan(self, request: EngineRequest) -> bool:
        """Return whether a request's host process is gone and no host took it over.

        Ids begin with ``host~incarnation~``. An incarnation below `started` belongs
        to an earlier process of the host; any up to a dead member's own incarnation
        belongs to a process that was declared dead.
        """
        host, _, rest = request.engine_request_id.partition("~")
        incarnation = rest.partition("~")[0]
        if not incarnation.isdigit() or self._has_owner(request.engine_request_id):
            return False
        member = self._members.by_host.get(HostName(host))
        if member is None:
            return False
        if int(incarnation) < member.started:
            return True
        dead = member.state is MemberState.DEAD
        return dead and int(incarnation) <= member.incarnation
