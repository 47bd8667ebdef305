"""State of one caller's request while this host serves it."""

from __future__ import annotations

import random
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import Enum

from ..dispatch.authorization import Credential
from ..exceptions import NotSentError
from ..models.ids import ServiceName
from ..models.routes import Route
from ..models.traits import Trait, part_traits, request_trait
from ..models.upstreams import RunnerKey
from ..models.workspaces import CallerIdentity, Workspace
from ..network.http1_server import ReceivedRequest
from ..platform import wire
from ..utils.clock import monotonic

# Number of rejections by runners after which a request is refused instead of
# resent, because each resend is charged to the retry budget and a caller that
# retries soon is sent to other runners.
MAX_REJECTIONS = 3


class Charge(Enum):
    """Whether a request is charged to its workspace's allowance."""

    NONE = "none"
    # When it is first sent.
    DUE = "due"
    MADE = "made"


@dataclass(slots=True)
class Job:
    """State of one caller's request while this host serves it.

    Parameters
    ----------
    request : ReceivedRequest
    route : Route
    service : str
        Service chosen from the route's services.
    arrived_at, deadline : float
        Times of the monotonic clock, in seconds.
    caller_timeout_s : float or None
        Seconds from the arrival that the caller waits; None if not stated.
    ran : bool
        Whether a runner has started to process the request, or is assumed to have
        because its answer broke off.
    outcome_unknown : bool
        Whether the request was sent to a runner that has not answered yet.
    sent_to : set of RunnerKey
        Runners that the request was sent to and that may have run it.
    last_sent_to : RunnerKey or None
        Runner of the latest send, which is removed from `sent_to` if it rejects the
        request. None if an earlier send to the same runner may have run the request.
    rejections : int
        Number of sends that a runner rejected without running the request.
    log_fields : dict
        Additional fields of the request's log line.
    tried_bars : set of frozenset of Trait
        Barred traits in spite of which the request is sent, as a trial.
    workspace : Workspace or None
        The workspace of the caller's key; None if the configuration has no
        workspaces, or the route is public and the request has no known key.
    identity : CallerIdentity or None
        What runners are told of the caller; None if the configuration has no
        workspaces.
    cost : float
        What it is charged to the workspace's allowance, in the unit of that.
    charge : Charge
    """

    request: ReceivedRequest
    route: Route
    service: ServiceName
    arrived_at: float
    deadline: float
    caller_timeout_s: float | None = None
    ran: bool = False
    outcome_unknown: bool = False
    sent_to: set[RunnerKey] = field(default_factory=set)
    last_sent_to: RunnerKey | None = None
    rejections: int = 0
    log_fields: dict[str, str | int | float] = field(default_factory=dict)
    tried_bars: set[frozenset[Trait]] = field(default_factory=set)
    workspace: Workspace | None = None
    identity: CallerIdentity | None = None
    _credential: Credential | None = None
    cost: float = 0.0
    charge: Charge = Charge.NONE
    _part_traits: tuple[Trait, ...] | None = None
    _request_trait: Trait | None = None

    @property
    def id(self) -> str:
        """Id that the caller assigned to the request."""
        return wire.request_id(self.request)

    @property
    def credential(self) -> Credential:
        """The key that the request carries."""
        if self._credential is None:
            self._credential = Credential.of(wire.caller_keys(self.request))
        return self._credential

    @property
    def priority(self) -> int:
        """Priority of the workspace or else of the route; 0 is the highest."""
        if self.workspace is None or self.workspace.priority is None:
            return self.route.priority
        return self.workspace.priority

    def note_time(self, name: str) -> None:
        """Set a log field to the seconds since the arrival."""
        self.log_fields[name] = round(monotonic() - self.arrived_at, 3)

    @property
    def part_traits(self) -> tuple[Trait, ...]:
        """The traits of the parts of its prompt that other requests may share."""
        if self._part_traits is None:
            parts = wire.shared_prompt_parts(self.request)
            self._part_traits = part_traits(self.service, parts)
        return self._part_traits

    @property
    def request_trait(self) -> Trait:
        """The trait that the request has in common with its repetitions.

        Computed when first needed, since its body may be large.
        """
        if self._request_trait is None:
            identity = wire.request_identity(self.request)
            self._request_trait = request_trait(self.service, *identity)
        return self._request_trait

    @property
    def traits(self) -> tuple[Trait, ...]:
        """What the request may have in common with others that crash runners."""
        return (*self.part_traits, self.request_trait)

    @property
    def may_have_run(self) -> bool:
        """Whether a runner may have started to process the request."""
        return self.ran or self.outcome_unknown

    @contextmanager
    def sending(self, runner: RunnerKey) -> Iterator[None]:
        """Track a send to a runner, which must happen within the block.

        The outcome is unknown until `mark_not_run` or `mark_started` is called, or
        nothing is sent. It stays unknown if the block is left by a timeout.
        """
        self.outcome_unknown = True
        already_sent = runner in self.sent_to
        self.sent_to.add(runner)
        self.last_sent_to = None if already_sent else runner
        try:
            yield
        except NotSentError:
            self.outcome_unknown = False
            if not already_sent:
                self.sent_to.discard(runner)
            raise

    def mark_not_run(self) -> None:
        """Record that the last runner rejected the request without running it.

        A rejection does not count as an attempt, because the route's limit applies
        to the runners that may have run the request.
        """
        self.outcome_unknown = False
        self.rejections += 1
        if self.last_sent_to is not None:
            self.sent_to.discard(self.last_sent_to)

    def mark_started(self) -> None:
        """Record that a runner has started to answer."""
        self.outcome_unknown = False
        self.ran = True

    @property
    def has_attempts_left(self) -> bool:
        """Whether the limits on rejections and attempts allow another runner."""
        is_under_limit = self.rejections < MAX_REJECTIONS
        return is_under_limit and len(self.sent_to) < self.route.max_attempts

    @property
    def time_left_s(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - monotonic()


def new_job(request: ReceivedRequest, route: Route) -> Job:
    """Return the job of a request that arrives now.

    The service is chosen at random by the weights of the route's shares. The
    deadline is the earlier of the caller's and the route's.
    """
    now = monotonic()
    given_s = wire.time_left_s(request)
    limit_s = route.timeout_s if given_s is None else min(given_s, route.timeout_s)
    shares = route.shares
    chosen = random.choices(shares, [share.weight for share in shares])[0]
    return Job(request, route, chosen.service, now, now + limit_s, given_s)
