"""State and components that all connections of a host share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from ..dispatch.caller_waits import CallerWaitTracker
from ..dispatch.crash_causes import Bar, CrashCauses
from ..dispatch.engine_placement import EnginePlacement
from ..dispatch.plain_placement import PlainPlacement
from ..dispatch.reachability import Reachability
from ..dispatch.retry_budget import SharedRetryBudget
from ..dispatch.runner_limits import RunnerLimits
from ..dispatch.runner_paths import Helper, RunnerPaths
from ..dispatch.runner_speed import RunnerSpeeds
from ..dispatch.wait_queue import WaitQueue
from ..fleet.allowance_exchange import AllowanceExchange
from ..fleet.configuration import ConfigurationInForce
from ..fleet.demand import Demand, DemandMeter
from ..fleet.hosts import HostStatus, HostTable, RunnerLoad, total_load
from ..fleet.in_progress import InProgress
from ..fleet.runners import RunnerDirectory
from ..fleet.stored_streams import StoredStreams
from ..fleet.stream_versions import StreamVersions
from ..fleet.unreachable_runners import UnreachableRunners
from ..logs.lines import LogLines
from ..metrics.registry import Metrics
from ..models.host_settings import HostSettings
from ..models.ids import ServiceName
from ..models.upstreams import Registration, RunnerKey, RunnerStatement
from ..network.http1_client import AnswerHead
from ..peers.link import Peers
from ..platform import wire
from ..platform.statements import runner_statement
from ..stages.switching import StageSwitches
from ..utils.rendezvous import is_among_best
from ..utils.tasks import TaskSet
from .crash_detection import CrashDetection
from .errors import barred
from .job import Job
from .key_checks import KeyChecks
from .speed_reports import SpeedReports
from .workspace_endpoints import WorkspaceRefusals


@dataclass(slots=True)
class GatewayContext:
    """Components that the requests of a host share."""

    settings: HostSettings
    configuration: ConfigurationInForce
    runners: RunnerDirectory
    hosts: HostTable
    in_progress: InProgress
    demand: DemandMeter
    switching: StageSwitches
    unreachable_runners: UnreachableRunners
    runner_paths: RunnerPaths
    peers: Peers
    # Returns the other hosts that serve callers.
    other_servers: Callable[[], list[HostStatus]]
    retry_budget: SharedRetryBudget
    limits: RunnerLimits
    allowances: AllowanceExchange
    crash_causes: CrashCauses
    crash_detection: CrashDetection
    stream_versions: StreamVersions
    stored_streams: StoredStreams
    runner_speeds: RunnerSpeeds
    speed_reports: SpeedReports
    plain_placement: PlainPlacement
    keys: KeyChecks
    log: LogLines
    metrics: Metrics
    tasks: TaskSet
    placement_by_service: dict[ServiceName, EnginePlacement] = field(
        default_factory=dict
    )
    caller_waits: CallerWaitTracker = field(default_factory=CallerWaitTracker)
    refusals: WorkspaceRefusals = field(default_factory=WorkspaceRefusals)
    queue_by_service: dict[ServiceName, WaitQueue] = field(default_factory=dict)

    def check_bars(self, job: Job) -> None:
        """Refuse a request whose like has crashed runners; raises `EndedError`."""
        if not self.crash_causes.bars:
            return
        bar = self.crash_causes.bar_against(job.traits)
        if bar is None or bar.traits in job.tried_bars:
            return
        names = ",".join(sorted(bar.traits))
        if self._tries(bar) and self.crash_causes.may_try(bar, job.traits):
            job.tried_bars.add(bar.traits)
            self.log.write("traits.tried", job.id, traits=names)
            return
        job.log_fields["barred_traits"] = names
        raise barred(len(bar.crashes))

    def _tries(self, bar: Bar) -> bool:
        """Return whether this host is the one that tries requests in spite of a bar."""
        own = self.settings.host
        others = (known.status.host for known in self.hosts.alive())
        return is_among_best(",".join(sorted(bar.traits)), own, (own, *others), 1)

    def not_switching(self, runners: list[Registration]) -> list[Registration]:
        """Return the runners that are not in the middle of a stage switch.

        Runners that are still switching are left out. Runners that have switched
        are returned with their new stage, even if they still register the old one.
        """
        own_switches = self.switching.by_runner()
        not_switching = []
        for runner in runners:
            switch = own_switches.get(runner.key) or self.hosts.switch_of(runner.key)
            if switch is None:
                not_switching.append(runner)
            elif switch.unavailable_s <= 0:
                not_switching.append(replace(runner, stage=switch.stage))
        return not_switching

    def note_statements(
        self, runner: RunnerKey, head: AnswerHead, sent_at: float | None = None
    ) -> RunnerStatement | None:
        """Record and return what a runner states about itself in an answer.

        An answer of another runner, which may have its address, is ignored.

        Parameters
        ----------
        runner : RunnerKey
        head : AnswerHead
        sent_at : float or None, default=None
            Monotonic time at which the request was sent. If None, the absence of a
            limit in the answer doesn't end one.
        """
        if wire.is_other_runner(head, runner.name):
            return None
        statement = runner_statement(head)
        for reason in statement.invalid:
            self.metrics.count("runner_statements_invalid")
            self.log.write(
                "runner.statement_invalid", runner=runner.name, reason=reason
            )
        if statement.limit_per_s is not None:
            self.limits.note(runner, statement.limit_per_s)
        elif (
            statement.is_limit_valid
            and sent_at is not None
            and not wire.is_not_run(head)
        ):
            # A runner that rejects requests is in need, whatever it states.
            self.limits.note_absence(runner, sent_at)
        if statement.pause_s is not None:
            self.limits.note_pause(runner, statement.pause_s)
        load = wire.parse_load(head)
        if load is not None:
            self.runner_speeds.note_load(runner, load)
            self.speed_reports.check(runner)
        if statement.is_leaving:
            self.metrics.count("runner_leaving_answers")
            self.runners.mark_draining(runner.name, runner.started_at, "its answer")
        return statement

    def helpers_for(self, runner: RunnerKey) -> list[Helper]:
        """Return the hosts to ask for a connection to a runner, best first."""
        hosts = [
            Helper(
                status.host,
                status.zone,
                status.peers_address,
                self.hosts.is_suspect(status.host),
            )
            for status in self.other_servers()
            if not self.hosts.reports_unreachable(status.host, runner)
        ]
        return self.runner_paths.helpers(runner, hosts)

    def forget_runner(self, runner: RunnerKey) -> None:
        """Remove what is known of a process that is gone."""
        self.runner_paths.forget(runner)
        self.runner_speeds.forget(runner)
        self.speed_reports.forget(runner)
        self.plain_placement.forget(runner)
        for placement in self.placement_by_service.values():
            placement.forget(runner)

    def fleet_demand(self, service: ServiceName) -> Demand:
        """Return the demand for a service's engines, summed over all hosts."""
        own_demand = self.demand.by_service().get(service, Demand())
        other_demand = self.hosts.demand(service)
        return Demand(
            own_demand.prompt_tokens_per_s + other_demand.prompt_tokens_per_s,
            own_demand.decode_tokens + other_demand.decode_tokens,
        )

    def load_of(self, runner: RunnerKey) -> RunnerLoad:
        """Return the load that all hosts together have in progress at a runner."""
        return total_load(
            (self.in_progress.load_of(runner), self.hosts.load_of(runner))
        )

    def reachability_of(self, runner: RunnerKey) -> Reachability:
        """Return the reachability of a runner.

        A failed call of this host takes precedence over reports of other hosts.
        """
        if self.unreachable_runners.is_unreachable(runner):
            return Reachability.UNREACHABLE
        return (
            Reachability.REPORTED_UNREACHABLE
            if self.hosts.is_reported_unreachable(runner)
            else Reachability.REACHABLE
        )

    def placement_for(self, service: ServiceName) -> EnginePlacement:
        """Return the placement of a service's engines, created on first use."""
        placement = self.placement_by_service.get(service)
        if placement is None:
            placement = EnginePlacement(
                self.settings.zone,
                self.load_of,
                self.reachability_of,
                slowdown_of=self.runner_speeds.usual_slowdown,
            )
            self.placement_by_service[service] = placement
        return placement

    def queue(self, service: ServiceName) -> WaitQueue:
        """Return the queue of a service's generations that wait for capacity."""
        return self.queue_by_service.setdefault(service, WaitQueue())
