"""Sends orders to the runners of the pools whose lease this host holds.

The declared state is compared with the observed state periodically. A runner that
does not check fencing tokens may carry out a late order of an earlier holder,
which the current holder then corrects.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

from absl import logging

from ..configuration.current import CurrentConfiguration
from ..configuration.store import ConfigurationStore
from ..coordination.key_value import KeyValueClient
from ..engines.base import LoadedState
from ..engines.registry import Engines
from ..exceptions import (
    DeclarationError,
    EngineError,
    OrderRefusedError,
    PlatformError,
)
from ..membership.members import MemberTable
from ..metrics.registry import Metrics
from ..models.declaration import EnginePool, Runner
from ..models.events import EventKind
from ..models.ids import PoolName, RunnerName
from ..timeline.recorder import Recorder
from ..utils.clock import monotonic
from ..utils.rendezvous import primary_and_backup
from ..utils.tasks import TaskSet
from .desired import LOADING_KINDS, Order, missing_orders
from .lease import PoolLease

RECONCILE_PERIOD_S = 1.0
# Seconds between reads of a runner that checks fencing tokens and is in its declared
# state. Its state only changes unexpectedly when it restarts.
FENCED_READ_PERIOD_S = 5.0


@dataclass(slots=True)
class _ObservedRunner:
    """Last observed state of a runner and the time of the next read."""

    state: LoadedState
    loading: bool
    next_read_at: float


class OrderReconciler:
    """Keeps the runners of each pool in their declared state.

    Parameters
    ----------
    current : CurrentConfiguration
    store : ConfigurationStore
    members : MemberTable
    engines : Engines
    key_value : KeyValueClient
    prefix : str
        Prefix of all keys in the key-value service.
    has_contact_since_pause : callable
        Returns whether this process has had contact with a peer since it was last
        paused.
    recorder : Recorder
    metrics : Metrics
    """

    def __init__(
        self,
        current: CurrentConfiguration,
        store: ConfigurationStore,
        members: MemberTable,
        engines: Engines,
        key_value: KeyValueClient,
        prefix: str,
        has_contact_since_pause: Callable[[], bool],
        recorder: Recorder,
        metrics: Metrics,
    ) -> None:
        self._current = current
        self._store = store
        self._members = members
        self._engines = engines
        self._key_value = key_value
        self._prefix = f"{prefix}/orders"
        self._has_contact_since_pause = has_contact_since_pause
        self._recorder = recorder
        self._metrics = metrics
        self._lease_by_pool: dict[PoolName, PoolLease] = {}
        self._observed_by_runner: dict[RunnerName, _ObservedRunner] = {}
        self._reconciling: set[PoolName] = set()
        current.subscribe(lambda _: self._observed_by_runner.clear())

    def pools_held(self) -> list[str]:
        """Return the names of the pools whose lease this host holds, sorted."""
        return sorted(p for p, lease in self._lease_by_pool.items() if lease.may_send)

    async def run(self, tasks: TaskSet) -> None:
        """Reconcile the pools until cancelled, then release the leases."""
        try:
            while True:
                self._start_reconciling(tasks)
                self._metrics.gauge("orders_held", len(self.pools_held()))
                await asyncio.sleep(RECONCILE_PERIOD_S)
        finally:
            for lease in self._lease_by_pool.values():
                with suppress(PlatformError):
                    await lease.release()

    def _start_reconciling(self, tasks: TaskSet) -> None:
        declaration = self._current.declaration
        for pool in declaration.engine_pools if declaration else ():
            name = PoolName(pool.name)
            if name not in self._reconciling:
                self._reconciling.add(name)
                tasks.start(self._reconcile_pool(name, pool), f"orders-{name}")

    async def _reconcile_pool(self, name: PoolName, pool: EnginePool) -> None:
        try:
            lease = await self._acquire_lease(name)
            if lease is None:
                return
            if lease.renewal_due:
                await lease.renew()
            await self._send_missing_orders(pool, lease)
        except (PlatformError, DeclarationError):
            self._metrics.count("orders_store_failures")
        finally:
            self._reconciling.discard(name)

    async def _acquire_lease(self, name: PoolName) -> PoolLease | None:
        """Return the held lease of a pool; acquire it if this host is the primary.

        Returns None if this host does not hold the lease and did not acquire it.
        """
        lease = self._lease_by_pool.get(name)
        if lease is not None and lease.may_send:
            return lease
        zones = {str(h): z for h, z in self._members.zone_by_host().items()}
        primary, _ = primary_and_backup(name, zones)
        own = self._members.own
        if primary != own.host or own.leaving or not self._has_contact_since_pause():
            return None
        lease = PoolLease(self._key_value, f"{self._prefix}/{name}", own.host)
        if not await lease.acquire():
            return None
        # The previous holder may have sent orders of a newer configuration than the
        # one that is active on this host.
        newest = await self._store.read()
        if newest is not None:
            self._current.advance(newest)
        self._lease_by_pool[name] = lease
        self._observed_by_runner.clear()
        logging.info("order lease acquired pool=%s token=%d", name, lease.fencing_token)
        self._recorder.record(
            EventKind.ORDERS_HELD, pool=name, token=lease.fencing_token
        )
        return lease

    async def _send_missing_orders(self, pool: EnginePool, lease: PoolLease) -> None:
        runners = [runner for runner in pool.runners if not runner.leaving]
        await asyncio.gather(*(self._refresh_observed(runner) for runner in runners))
        for runner in runners:
            observed = self._observed_by_runner.get(RunnerName(runner.name))
            if observed is None or observed.loading:
                continue
            for order in missing_orders(runner, observed.state):
                if not self._may_load(order, pool):
                    break
                if not await self._send(runner, order, lease):
                    break
                if order.kind in LOADING_KINDS:
                    observed.loading = True
                    break

    def _may_load(self, order: Order, pool: EnginePool) -> bool:
        """Return whether an order respects the pool's limit on concurrent loads.

        The limit protects the weight store. Orders that load nothing are always
        allowed.
        """
        if order.kind not in LOADING_KINDS:
            return True
        names = {RunnerName(runner.name) for runner in pool.runners}
        loading = sum(
            observed.loading
            for name, observed in self._observed_by_runner.items()
            if name in names
        )
        return loading < pool.concurrent_loads

    async def _refresh_observed(self, runner: Runner) -> None:
        name = RunnerName(runner.name)
        observed = self._observed_by_runner.get(name)
        if observed is not None and monotonic() < observed.next_read_at:
            return
        try:
            state = await self._engines.at(runner.address).loaded()
        except EngineError:
            # An unreachable runner does not count as loading and is read again in
            # the next pass.
            self._observed_by_runner.pop(name, None)
            return
        is_settled = not missing_orders(runner, state) and not state.loading
        # Half the reconcile period ensures that the next pass reads the runner again.
        period_s = (
            FENCED_READ_PERIOD_S
            if is_settled and runner.checks_fencing
            else RECONCILE_PERIOD_S / 2
        )
        self._observed_by_runner[name] = _ObservedRunner(
            state, bool(state.loading), monotonic() + period_s
        )

    async def _send(self, runner: Runner, order: Order, lease: PoolLease) -> bool:
        if not lease.may_send:
            return False
        engine = self._engines.at(runner.address)
        try:
            await engine.order(order.kind.value, order.arguments, lease.fencing_token)
        except OrderRefusedError:
            self._metrics.count("orders_refused")
            with suppress(EngineError):
                await lease.raise_token((await engine.loaded()).fencing_token)
            return False
        except EngineError:
            self._metrics.count("orders_failed")
            return False
        self._metrics.count("orders_sent")
        self._recorder.record(
            EventKind.ORDER_SENT,
            runner=runner.name,
            order=order.kind.value,
            token=lease.fencing_token,
        )
        return True
