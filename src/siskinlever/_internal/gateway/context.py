"""What serving a request needs, shared by all connections of a host."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from ..dispatch.caller_ages import CallerAges
from ..dispatch.doubt import Doubt
from ..dispatch.engine_placement import EnginePlacement
from ..dispatch.plain_placement import PlainPlacement
from ..dispatch.retry_budget import SharedRetryBudget
from ..dispatch.waiting_line import WaitingLine
from ..fleet.configuration import ConfigurationInForce
from ..fleet.demand import Demand, DemandMeter
from ..fleet.hosts import HostTable, RunnerLoad, total_load
from ..fleet.in_progress import InProgress
from ..fleet.reach import Reach
from ..fleet.runners import RunnerDirectory
from ..logs.lines import LogLines
from ..metrics.registry import Metrics
from ..models.host_settings import HostSettings
from ..models.ids import ServiceName
from ..models.upstreams import Registration, RunnerKey
from ..stages.switching import Switching
from ..utils.tasks import TaskSet


@dataclass(slots=True)
class GatewayContext:
    """The parts that requests of a host share."""

    settings: HostSettings
    configuration: ConfigurationInForce
    runners: RunnerDirectory
    hosts: HostTable
    in_progress: InProgress
    demand: DemandMeter
    switching: Switching
    reach: Reach
    budget: SharedRetryBudget
    plain: PlainPlacement
    log: LogLines
    metrics: Metrics
    tasks: TaskSet
    engines_by_service: dict[ServiceName, EnginePlacement] = field(default_factory=dict)
    caller_ages: CallerAges = field(default_factory=CallerAges)
    line_by_service: dict[ServiceName, WaitingLine] = field(default_factory=dict)

    def steady(self, runners: list[Registration]) -> list[Registration]:
        """Return the runners that are not changing their stage, with the new one."""
        own = self.switching.by_runner()
        steady = []
        for runner in runners:
            switch = own.get(runner.key) or self.hosts.switch_of(runner.key)
            if switch is None:
                steady.append(runner)
            elif switch.takes_none_s <= 0:
                steady.append(replace(runner, stage=switch.stage))
        return steady

    def fleet_demand(self, service: ServiceName) -> Demand:
        """Return what callers of all hosts ask of a service's engines."""
        own = self.demand.by_service().get(service, Demand())
        others = self.hosts.demand(service)
        return Demand(
            own.prompt_tokens_per_s + others.prompt_tokens_per_s,
            own.decode_tokens + others.decode_tokens,
        )

    def load_at(self, runner: RunnerKey) -> RunnerLoad:
        """Return what all hosts have in progress at a runner."""
        return total_load((self.in_progress.at(runner), self.hosts.load_at(runner)))

    def doubt_about(self, runner: RunnerKey) -> Doubt:
        """Return whether a runner can be reached, as far as is known."""
        if self.reach.is_unreachable(runner):
            return Doubt.OWN
        return Doubt.OTHERS if self.hosts.is_doubted(runner) else Doubt.NONE

    def engines(self, service: ServiceName) -> EnginePlacement:
        """Return the placement for a service's engines."""
        found = self.engines_by_service.get(service)
        if found is None:
            found = EnginePlacement(self.settings.zone, self.load_at, self.doubt_about)
            self.engines_by_service[service] = found
        return found

    def line(self, service: ServiceName) -> WaitingLine:
        """Return the generations of a service that wait for room."""
        return self.line_by_service.setdefault(service, WaitingLine())
