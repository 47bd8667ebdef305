"""One request of a caller on its way through this host."""

from __future__ import annotations

import random
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from ..exceptions import ConnectFailedError
from ..models.ids import ServiceName
from ..models.routes import Route
from ..models.upstreams import RunnerKey
from ..network.http1_server import ReceivedRequest
from ..platform import wire
from ..utils.clock import monotonic

# Rejections after which a request is refused: a caller that comes back soon
# finds other runners, and each rejection takes from the budget for retries.
MAX_REJECTIONS = 3


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
    caller_timeout_s : float or None
        How long the caller waits from now, if it says so.
    ran : bool
        Whether a runner has begun to work on it.
    outcome_unknown : bool
        Whether it is on its way to a runner that has not answered.
    sent_to : set of RunnerKey
        The runners that it was sent to and that may have run it.
    last_sent_to : RunnerKey or None
        The runner of the latest send, if it was not sent there before.
    rejections : int
        Sends that a runner refused without running the request.
    log_fields : dict
        What happened on the way, for the log.
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

    @property
    def id(self) -> str:
        """The caller's id of the request."""
        return wire.request_id(self.request)

    def note_time(self, name: str) -> None:
        """Note when a step was done, in seconds since the arrival."""
        self.log_fields[name] = round(monotonic() - self.arrived_at, 3)

    @property
    def may_have_run(self) -> bool:
        """Whether a runner may have begun to work on it."""
        return self.ran or self.outcome_unknown

    @contextmanager
    def sending(self, runner: RunnerKey) -> Iterator[None]:
        """Send the request within the block; its outcome is in doubt until known.

        A block that is left by a time-out leaves the request in doubt.
        """
        self.outcome_unknown = True
        already_sent = runner in self.sent_to
        self.sent_to.add(runner)
        self.last_sent_to = None if already_sent else runner
        try:
            yield
        except ConnectFailedError:
            self.outcome_unknown = False
            if not already_sent:
                self.sent_to.discard(runner)
            raise

    def mark_not_run(self) -> None:
        """Note the word of the last runner that it did not run the request.

        It takes no attempt: the route limits how many runners may work on it.
        """
        self.outcome_unknown = False
        self.rejections += 1
        if self.last_sent_to is not None:
            self.sent_to.discard(self.last_sent_to)

    def mark_started(self) -> None:
        """Note that a runner has begun to answer."""
        self.outcome_unknown = False
        self.ran = True

    @property
    def has_attempts_left(self) -> bool:
        """Whether the route allows one more runner."""
        is_under_limit = self.rejections < MAX_REJECTIONS
        return is_under_limit and len(self.sent_to) < self.route.max_attempts

    @property
    def time_left_s(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - monotonic()


def new_job(request: ReceivedRequest, route: Route) -> Job:
    """Return the job of a request that arrives now."""
    now = monotonic()
    given_s = wire.time_left_s(request)
    limit_s = route.timeout_s if given_s is None else min(given_s, route.timeout_s)
    shares = route.shares
    chosen = random.choices(shares, [share.weight for share in shares])[0]
    return Job(request, route, chosen.service, now, now + limit_s, given_s)
