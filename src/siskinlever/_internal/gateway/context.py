"""What serving a request needs, shared by all connections of a host."""

from __future__ import annotations

import random
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace

from ..dispatch.doubt import Doubt
from ..dispatch.engine_placement import EnginePlacement
from ..dispatch.plain_placement import PlainPlacement
from ..dispatch.retry_budget import RetryBudget
from ..dispatch.waiting_line import WaitingLine
from ..exceptions import ConnectFailedError
from ..fleet.configuration import ConfigurationInForce
from ..fleet.demand import Demand, DemandMeter
from ..fleet.hosts import HostTable, RunnerLoad
from ..fleet.in_progress import InProgress
from ..fleet.reach import Reach
from ..fleet.runners import RunnerDirectory
from ..logs.lines import LogLines
from ..metrics.registry import Metrics
from ..models.host_settings import HostSettings
from ..models.ids import ServiceName
from ..models.routes import Route
from ..models.upstreams import Registration, RunnerKey
from ..network.http1_server import ReceivedRequest
from ..platform import dialect
from ..stages.switching import Switching
from ..utils.clock import monotonic
from ..utils.tasks import TaskSet

# Rejections after which a request is refused: a caller that comes back soon
# finds other runners, and each rejection takes from the budget for retries.
MAX_REJECTIONS = 3


class CallerAges:
    """Tells how long callers have waited already, over earlier requests.

    A caller that comes back after a refusal has less time left than one that
    comes for the first time.
    """

    def __init__(self) -> None:
        self._longest_s_by_route: dict[str, float] = {}

    def age_s(self, job: Job) -> float:
        """Return the seconds since a caller's first request, as far as known."""
        told = job.caller_waits_s
        if told is None:
            return 0.0
        longest = max(told, self._longest_s_by_route.get(job.route.name, 0.0))
        self._longest_s_by_route[job.route.name] = longest
        return longest - told


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
    budget: RetryBudget
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
        own, others = self.in_progress.at(runner), self.hosts.load_at(runner)
        return RunnerLoad(
            own.requests + others.requests,
            own.decode_tokens + others.decode_tokens,
            own.prefill_tokens + others.prefill_tokens,
        )

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


@dataclass(slots=True)
class Job:
    """One request of a caller on its way through this host.

    Parameters
    ----------
    request : ReceivedRequest
    route : Route
    service : str
        Chosen among the route's services.
    arrived_at, deadline : float
        Monotonic times.
    caller_waits_s : float or None
        How long the caller waits from now, if it says so.
    ran : bool
        Whether a runner has begun to work on it.
    in_doubt : bool
        Whether it is on its way to a runner that has not answered.
    sent_to : set of RunnerKey
        The runners that it was sent to and that may have run it.
    last_sent_to : RunnerKey or None
        The runner of the latest send, if it was not sent there before.
    rejections : int
        Sends that a runner refused without running the request.
    steps : dict
        What happened on the way, for the log.
    """

    request: ReceivedRequest
    route: Route
    service: ServiceName
    arrived_at: float
    deadline: float
    caller_waits_s: float | None = None
    ran: bool = False
    in_doubt: bool = False
    sent_to: set[RunnerKey] = field(default_factory=set)
    last_sent_to: RunnerKey | None = None
    rejections: int = 0
    steps: dict[str, str | int | float] = field(default_factory=dict)

    @property
    def id(self) -> str:
        """The caller's id of the request."""
        return dialect.request_id(self.request)

    @property
    def may_have_run(self) -> bool:
        """Whether a runner may have begun to work on it."""
        return self.ran or self.in_doubt

    @contextmanager
    def sending(self, runner: RunnerKey) -> Iterator[None]:
        """Send the request within the block; its outcome is in doubt until known.

        A block that is left by a time-out leaves the request in doubt.
        """
        self.in_doubt = True
        known = runner in self.sent_to
        self.sent_to.add(runner)
        self.last_sent_to = None if known else runner
        try:
            yield
        except ConnectFailedError:
            self.in_doubt = False
            if not known:
                self.sent_to.discard(runner)
            raise

    def not_run(self) -> None:
        """Note the word of the last runner that it did not run the request.

        It takes no attempt: the route limits how many runners may work on it.
        """
        self.in_doubt = False
        self.rejections += 1
        if self.last_sent_to is not None:
            self.sent_to.discard(self.last_sent_to)

    def has_run(self) -> None:
        """Note that a runner has begun to answer."""
        self.in_doubt = False
        self.ran = True

    @property
    def has_attempts_left(self) -> bool:
        """Whether the route allows one more runner."""
        within = self.rejections < MAX_REJECTIONS
        return within and len(self.sent_to) < self.route.max_attempts

    @property
    def time_left_s(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - monotonic()


def new_job(request: ReceivedRequest, route: Route) -> Job:
    """Return the job of a request that arrives now."""
    now = monotonic()
    told = dialect.time_left_s(request)
    limit_s = route.timeout_s if told is None else min(told, route.timeout_s)
    shares = route.shares
    chosen = random.choices(shares, [share.weight for share in shares])[0]
    return Job(request, route, chosen.service, now, now + limit_s, told)
