"""Detects an unresponsive admission home within a third of a second."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from contextlib import contextmanager
from typing import Any, TypeVar

from ..exceptions import PeerError
from ..models.ids import HostName
from ..utils.clock import monotonic
from ..utils.tasks import TaskSet

T = TypeVar("T")

PROBE_PERIOD_S = 0.1
UNRESPONSIVE_TTL_S = 0.5

Probe = Callable[[HostName], Awaitable[Any]]


class HomeLiveness:
    """Probes homes while calls to them are pending, with one task for each home.

    The duration of a reservation call does not show whether its home is alive,
    because a reservation may be queued for long before its decision. A probe is
    answered at once.

    Parameters
    ----------
    probe : callable
        Calls a host and raises `PeerError` if it does not answer.
    tasks : TaskSet
    """

    def __init__(self, probe: Probe, tasks: TaskSet) -> None:
        self._probe = probe
        self._tasks = tasks
        self._calls_by_home: Counter[HostName] = Counter()
        self._unresponsive_event_by_home: dict[HostName, asyncio.Event] = {}
        self._unresponsive_until_by_home: dict[HostName, float] = {}

    def is_unresponsive(self, home: HostName) -> bool:
        """Return whether a probe of a home failed in the last `UNRESPONSIVE_TTL_S`."""
        return monotonic() < self._unresponsive_until_by_home.get(home, 0.0)

    async def call(self, home: HostName, work: Coroutine[Any, Any, T]) -> T:
        """Await a call to a home while the home responds to probes.

        Raises
        ------
        PeerError
            If the call fails, or if a probe fails before the call ends.
        """
        with self._probed(home) as unresponsive:
            call = asyncio.ensure_future(work)
            unresponsive_wait = asyncio.ensure_future(unresponsive.wait())
            try:
                await asyncio.wait(
                    {call, unresponsive_wait}, return_when=asyncio.FIRST_COMPLETED
                )
                if call.done():
                    return call.result()
                raise PeerError(f"{home} did not answer a probe")
            finally:
                call.cancel()
                unresponsive_wait.cancel()

    @contextmanager
    def _probed(self, home: HostName) -> Iterator[asyncio.Event]:
        self._calls_by_home[home] += 1
        unresponsive = self._unresponsive_event_by_home.get(home)
        if unresponsive is None:
            unresponsive = self._unresponsive_event_by_home[home] = asyncio.Event()
            self._tasks.start(
                self._probe_periodically(home, unresponsive), f"probe-{home}"
            )
        try:
            yield unresponsive
        finally:
            self._calls_by_home[home] -= 1

    async def _probe_periodically(
        self, home: HostName, unresponsive: asyncio.Event
    ) -> None:
        try:
            while True:
                await asyncio.sleep(PROBE_PERIOD_S)
                if not self._calls_by_home[home]:
                    return
                await self._probe(home)
        except PeerError:
            self._unresponsive_until_by_home[home] = monotonic() + UNRESPONSIVE_TTL_S
            unresponsive.set()
        finally:
            del self._unresponsive_event_by_home[home]
