"""Keeps the requests of hosts within the limits and pauses that runners state.

A runner in need states in its answers how many requests a second it takes from all
hosts together. A few hosts, chosen for each runner by rendezvous hashing, divide the
limit among them in equal shares, so that no set of hosts exceeds it, whatever each host
last heard of the others. The other hosts send such a runner nothing.

A runner that turns a request away may state for how long it wants nothing from this
host. Each host obeys the pauses that it was told itself. After one, it sends few
requests at first, since the runner had too many.

The load in mind is a service most or all of whose runners state limits below the rate
of its requests, or pauses: what they cannot serve is refused at once.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from ..logs.lines import LogLines
from ..metrics.registry import Metrics
from ..models.ids import HostName
from ..models.upstreams import RunnerKey
from ..utils.clock import monotonic
from ..utils.rendezvous import is_among_best

# Fraction of a limit that the hosts use. The rest is a margin for hosts that disagree
# for a moment on which hosts send to a runner.
SAFETY_FACTOR = 0.85
# Hosts that send to a runner: a fixed number and one more for each request per second.
# Each may have one request in hand, so that many hosts would exceed a small limit.
BASE_SENDERS = 3
# A limit is divided among at least this many hosts, if it is high enough for them, so
# that a host that has not yet discovered the others does not use their shares.
MIN_SHARES = 8
# Requests per second that all hosts together still send to a runner with a lower limit,
# since only an answer can tell them that the limit has changed.
MIN_RATE_PER_S = 0.25
# Limits above this many requests per second do not restrict anything.
MAX_RATE_PER_S = 1e6
# Seconds after which this host's part of a limit is computed anew.
SHARE_REFRESH_S = 0.3
# Requests per second to a runner for `RESUME_S` seconds after the end of a pause.
RESUME_RATE_PER_S = 10.0
RESUME_S = 1.0
# Statements are repeated to other hosts for this many seconds, and those on the end of
# a limit are then removed.
REPEAT_S = 15.0


@dataclass(frozen=True, slots=True)
class StatedLimit:
    """The newest statement of a runner about its limit.

    Parameters
    ----------
    per_s : float or None
        Requests per second from all hosts together; None if the limit has ended.
    stated_at : float
        Monotonic time of the statement.
    """

    per_s: float | None
    stated_at: float


@dataclass(slots=True)
class Allowance:
    """What this host may send to one runner now.

    Parameters
    ----------
    requests : float
        From 0 to 1; a request can be sent at 1. 0 when the limit is first heard.
    updated_at : float
        Monotonic time.
    rate_per_s : float, default=0.0
        This host's part of the limit.
    rate_until : float, default=-inf
        Monotonic time until which ``rate_per_s`` is used.
    """

    requests: float
    updated_at: float
    rate_per_s: float = 0.0
    rate_until: float = float("-inf")


def sender_share(
    runner: RunnerKey, per_s: float, own: HostName, hosts: Collection[HostName]
) -> float:
    """Return the part of a runner's limit that a host may use, from 0 to 1.

    Parameters
    ----------
    runner : RunnerKey
    per_s : float
        The runner's limit.
    own : str
    hosts : collection of str
        The hosts that may send requests, including those that were lost recently.
    """
    shares = min(max(len(hosts), MIN_SHARES), BASE_SENDERS + int(per_s))
    key = f"{runner.name}/{runner.started_at}"
    return 1 / shares if is_among_best(key, own, hosts, shares) else 0.0


class RunnerLimits:
    """Limits stated by runners, and this host's part of them.

    Parameters
    ----------
    own_host : str
    hosts : callable
        Returns the hosts that may send requests, as in `sender_share`.
    log : LogLines
    metrics : Metrics
    now : callable, default=monotonic
    """

    def __init__(
        self,
        own_host: HostName,
        hosts: Callable[[], Collection[HostName]],
        log: LogLines,
        metrics: Metrics,
        now: Callable[[], float] = monotonic,
    ) -> None:
        self._own_host = own_host
        self._hosts = hosts
        self._log = log
        self._metrics = metrics
        self._now = now
        self._allowance_by_runner: dict[RunnerKey, Allowance] = {}
        self._paused_until_by_runner: dict[RunnerKey, float] = {}
        self._listeners: list[Callable[[], None]] = []
        self.stated_by_runner: dict[RunnerKey, StatedLimit] = {}

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` whenever a runner's answer to this host is news."""
        self._listeners.append(listener)

    def note(self, runner: RunnerKey, per_s: float | None) -> None:
        """Record the limit that a runner stated in an answer, or its absence."""
        if self._record(runner, StatedLimit(per_s, self._now()), "answer"):
            for listener in self._listeners:
                listener()

    def note_pause(self, runner: RunnerKey, pause_s: float) -> None:
        """Record that a runner wants no requests from this host for some seconds.

        An answer with a shorter pause does not end a longer one.
        """
        until = max(self._now() + pause_s, self._paused_until(runner))
        self._paused_until_by_runner[runner] = until
        self._allowance_by_runner.pop(runner, None)
        self._metrics.count("runner_pauses")
        self._log.write(
            "runner.pause",
            runner=runner.name,
            started_at=runner.started_at,
            pause_s=round(pause_s, 3),
            ends_in_s=round(until - self._now(), 3),
        )

    def note_report(
        self, runner: RunnerKey, per_s: float | None, age_s: float, source: str
    ) -> None:
        """Record a statement that another host has heard, unless a newer is known.

        Parameters
        ----------
        runner : RunnerKey
        per_s : float or None
        age_s : float
            Seconds since the statement.
        source : str
            The other host, for the log.
        """
        stated_at = self._now() - age_s
        known = self.stated_by_runner.get(runner)
        if age_s <= REPEAT_S and (known is None or known.stated_at < stated_at):
            self._record(runner, StatedLimit(per_s, stated_at), source)

    def recent(self) -> dict[RunnerKey, StatedLimit]:
        """Return the statements that other hosts should be told."""
        since = self._now() - REPEAT_S
        return {
            runner: stated
            for runner, stated in self.stated_by_runner.items()
            if stated.stated_at >= since
        }

    def keep_only(self, runners: Collection[RunnerKey]) -> None:
        """Remove the limits that have ended long ago, and those of other runners."""
        since = self._now() - REPEAT_S
        for runner, stated in list(self.stated_by_runner.items()):
            has_ended = stated.per_s is None and stated.stated_at < since
            if has_ended or runner not in runners:
                del self.stated_by_runner[runner]
                self._allowance_by_runner.pop(runner, None)
        now = self._now()
        self._paused_until_by_runner = {
            runner: until
            for runner, until in self._paused_until_by_runner.items()
            if runner in runners and until + RESUME_S > now
        }

    def may_send(self, runner: RunnerKey) -> bool:
        """Return whether this host may send a request to a runner now."""
        if self._paused_until(runner) > self._now():
            return False
        if self._is_unrestricted(runner):
            return True
        return self._allowance(runner).requests >= 1

    def take(self, runner: RunnerKey) -> bool:
        """Count a request that is sent to a runner; return False if none is allowed.

        Each arrival at the runner counts, including retries, prefills and requests
        that the runner rejects.
        """
        if not self.may_send(runner):
            return False
        if not self._is_unrestricted(runner):
            self._allowance(runner).requests -= 1
        return True

    def rate_of(self, runner: RunnerKey) -> float:
        """Return the requests per second that this host may send to a runner."""
        if self._paused_until(runner) > self._now():
            return 0.0
        if self._is_unrestricted(runner):
            return MAX_RATE_PER_S
        return self._allowance(runner).rate_per_s

    def wait_s(self, runners: Iterable[RunnerKey]) -> float | None:
        """Return the seconds until a request may be sent to any of some runners.

        None if this host may send requests to none of them.
        """
        waits = (self._wait_of(runner) for runner in runners)
        return min((wait for wait in waits if wait is not None), default=None)

    def are_paused(self, runners: Collection[RunnerKey]) -> bool:
        """Return whether all of some runners want no requests from this host now."""
        now = self._now()
        return bool(runners) and all(self._paused_until(r) > now for r in runners)

    def limit_of(self, runner: RunnerKey) -> float | None:
        """Return a runner's limit in requests per second, or None if it has none."""
        stated = self.stated_by_runner.get(runner)
        return None if stated is None else stated.per_s

    def _wait_of(self, runner: RunnerKey) -> float | None:
        pause_s = self._paused_until(runner) - self._now()
        if pause_s > 0:
            return pause_s
        if self.may_send(runner):
            return 0.0
        allowance = self._allowance(runner)
        if not allowance.rate_per_s:
            return None
        return (1 - allowance.requests) / allowance.rate_per_s

    def _paused_until(self, runner: RunnerKey) -> float:
        return self._paused_until_by_runner.get(runner, float("-inf"))

    def _is_unrestricted(self, runner: RunnerKey) -> bool:
        """Return whether a runner has no limit and has not had a pause recently."""
        is_resuming = self._now() < self._paused_until(runner) + RESUME_S
        return self.limit_of(runner) is None and not is_resuming

    def _allowance(self, runner: RunnerKey) -> Allowance:
        """Return what this host may send to a restricted runner now."""
        now = self._now()
        allowance = self._allowance_by_runner.setdefault(runner, Allowance(0.0, now))
        if now >= allowance.rate_until:
            allowance.rate_per_s = self._own_rate(runner)
            allowance.rate_until = now + SHARE_REFRESH_S
        gained = (now - allowance.updated_at) * allowance.rate_per_s
        allowance.requests = min(1.0, allowance.requests + gained)
        allowance.updated_at = now
        return allowance

    def _own_rate(self, runner: RunnerKey) -> float:
        limit = self.limit_of(runner)
        if limit is None:
            return RESUME_RATE_PER_S
        share = sender_share(runner, limit, self._own_host, self._hosts())
        return SAFETY_FACTOR * share * min(max(limit, MIN_RATE_PER_S), MAX_RATE_PER_S)

    def _record(self, runner: RunnerKey, stated: StatedLimit, source: str) -> bool:
        """Store a statement; return whether it differs from the known one."""
        known = self.stated_by_runner.get(runner)
        before = None if known is None else known.per_s
        if known is not None or stated.per_s is not None:
            self.stated_by_runner[runner] = stated
        if before == stated.per_s:
            return False
        if before is None:
            self._allowance_by_runner.pop(runner, None)
        elif runner in self._allowance_by_runner:
            self._allowance_by_runner[runner].rate_until = float("-inf")
        self._metrics.count("runner_limit_changes")
        self._log.write(
            "runner.limit",
            runner=runner.name,
            started_at=runner.started_at,
            before=before,
            after=stated.per_s,
            source=source,
            age_s=round(self._now() - stated.stated_at, 3),
        )
        return True
