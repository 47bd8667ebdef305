"""Sends the orders that change engine stages while this host holds the lease."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace

from ..dispatch.stage_plan import StageChange, StageWork, next_change
from ..exceptions import ExchangeError, InvalidRecordError, NotSentError
from ..gateway import engine_calls
from ..gateway.context import GatewayContext
from ..models.ids import ServiceName
from ..models.routes import EngineSpec
from ..models.upstreams import EngineReport, Registration, RunnerKey, Stage
from ..utils.clock import monotonic
from .lease import OrderLease

PLAN_PERIOD_S = 0.5
# Seconds for which the usable engines of a service must be unchanged before a
# change is planned. Runners register every 1.2 s, so a starting fleet is complete
# by then.
SETTLE_S = 1.7
# Weight of the newest measurement in the moving average of the work. With one
# measurement per `PLAN_PERIOD_S`, the average covers about 6 s.
WORK_WEIGHT = 0.08
# Seconds between the announcement of a change and the order. By then the other
# hosts have stopped sending requests to the engine.
ANNOUNCE_DELAY_S = 0.15
# Maximum seconds that a switch takes in addition to `stage_switch_s`: the engine
# first finishes its running generations, which takes seconds.
MAX_DRAIN_S = 6.0
ACCEPTED_STATUSES = frozenset({200, 202})
STALE_TOKEN_STATUS = 412


class StageOrders:
    """Plans stage changes and sends the orders for them.

    The engines of a service change one at a time, except that changes may overlap
    while the service has little work.

    Parameters
    ----------
    context : GatewayContext
    lease : OrderLease
    announce : callable
        Announces this host's stage changes, including completed and cancelled
        ones, to the other hosts.
    """

    def __init__(
        self, context: GatewayContext, lease: OrderLease, announce: Callable[[], None]
    ) -> None:
        self._context = context
        self._lease = lease
        self._announce = announce
        self._work_by_service: dict[ServiceName, StageWork] = defaultdict(
            lambda: StageWork(0.0, 0.0)
        )
        self._target_by_runner: dict[RunnerKey, Stage] = {}
        self._runners_seen_by_service: dict[
            ServiceName, tuple[frozenset[RunnerKey], float]
        ] = {}

    async def run(self) -> None:
        """Measure the work and send orders for planned changes until cancelled."""
        while True:
            await asyncio.sleep(PLAN_PERIOD_S)
            configuration = self._context.configuration.current
            services = configuration.service_by_name.values() if configuration else ()
            for service in services:
                if service.engine is not None:
                    self._update_work(service.name, service.engine)
                    if self._lease.may_order:
                        self._plan(service.name, service.engine)

    def _update_work(self, service: ServiceName, spec: EngineSpec) -> None:
        demand = self._context.fleet_demand(service)
        rate = self._context.placement_for(service).prefill_rate
        measured = StageWork(
            demand.prompt_tokens_per_s / rate,
            demand.decode_tokens / spec.kv_capacity,
        )
        work = self._work_by_service[service]
        self._work_by_service[service] = StageWork(
            work.prefill + WORK_WEIGHT * (measured.prefill - work.prefill),
            work.decode + WORK_WEIGHT * (measured.decode - work.decode),
        )

    def _plan(self, service: ServiceName, spec: EngineSpec) -> None:
        usable = self._context.runners.usable(service)
        if not self._is_stable(service, frozenset(runner.key for runner in usable)):
            return
        work = self._work_by_service[service]
        if len(self._context.not_switching(usable)) < len(usable) and not work.is_small:
            return
        planned = [self._with_target(runner) for runner in usable]
        change = next_change(planned, work)
        if change is None or change.runner.key in self._target_by_runner:
            return
        self._target_by_runner[change.runner.key] = change.stage
        self._context.tasks.start(
            self._execute_change(service, change, spec), "stage-order"
        )

    def _with_target(self, runner: Registration) -> Registration:
        """Return the runner, with its target stage if its stage is being changed."""
        target = self._target_by_runner.get(runner.key, runner.stage)
        return replace(runner, stage=target)

    async def _execute_change(
        self, service: ServiceName, change: StageChange, spec: EngineSpec
    ) -> None:
        try:
            await self._order_change(service, change, spec)
        finally:
            del self._target_by_runner[change.runner.key]

    def _is_stable(self, service: ServiceName, keys: frozenset[RunnerKey]) -> bool:
        """Record the usable runners; return whether unchanged for `SETTLE_S`."""
        known, since = self._runners_seen_by_service.get(service, (frozenset(), 0.0))
        if keys != known:
            self._runners_seen_by_service[service] = (keys, monotonic())
            return False
        return monotonic() - since >= SETTLE_S

    async def _order_change(
        self, service: ServiceName, change: StageChange, spec: EngineSpec
    ) -> None:
        runner = change.runner
        try:
            report = await engine_calls.read_report(self._context, runner)
        except (ExchangeError, InvalidRecordError) as error:
            self._log(change, "unknown", error.message)
            return
        if report.switching or report.stage is change.stage:
            # The engine is carrying out, or has carried out, an order that this host
            # does not know of.
            remaining_s = spec.stage_switch_s if report.switching else 0.0
            self._context.switching.begin(runner.key, change.stage, remaining_s)
            return
        self._context.switching.begin(
            runner.key, change.stage, spec.stage_switch_s + MAX_DRAIN_S
        )
        self._announce()
        await asyncio.sleep(ANNOUNCE_DELAY_S)
        work = self._work_by_service[service]
        outcome = await self._send_order(change, report)
        self._log(
            change,
            outcome,
            f"work in engines: prefill {work.prefill:.2f}, decode {work.decode:.2f}",
        )
        if outcome == "accepted" and await self._wait_for_switch(change, spec):
            self._context.switching.complete(runner.key)
        else:
            self._context.switching.cancel(runner.key)
        self._announce()

    async def _wait_for_switch(self, change: StageChange, spec: EngineSpec) -> bool:
        """Wait until an engine serves its new stage.

        Returns False if the engine cannot be read or exceeds the time limit.
        """
        await asyncio.sleep(spec.stage_switch_s)
        deadline = monotonic() + MAX_DRAIN_S
        while monotonic() < deadline:
            try:
                report = await engine_calls.read_report(self._context, change.runner)
            except (ExchangeError, InvalidRecordError) as error:
                self._log(change, "unknown", error.message)
                return False
            if report.stage is change.stage and not report.switching:
                self._log(change, "done", f"orders accepted {report.orders_accepted}")
                return True
            await asyncio.sleep(PLAN_PERIOD_S)
        self._log(
            change, "late", f"not completed {MAX_DRAIN_S} s after its expected end"
        )
        return False

    async def _send_order(self, change: StageChange, report: EngineReport) -> str:
        runner, lease = change.runner, self._lease
        if not lease.may_order:
            return "not sent"
        try:
            status = await engine_calls.order_stage(
                self._context,
                runner,
                change.stage,
                lease.fencing_token,
                report.orders_accepted,
            )
        except NotSentError as error:
            return f"not sent: {error.message}"
        except ExchangeError as error:
            return f"unanswered: {error.message}"
        if status == STALE_TOKEN_STATUS:
            lease.mark_lost("the engine has accepted a higher fencing token")
        return "accepted" if status in ACCEPTED_STATUSES else f"status {status}"

    def _log(self, change: StageChange, outcome: str, detail: str) -> None:
        self._context.log.write(
            "order.stage",
            runner=change.runner.key.name,
            stage=change.stage.value,
            token=self._lease.fencing_token,
            outcome=outcome,
            detail=detail,
        )
