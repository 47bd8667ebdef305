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

import math
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
# Hosts that send to a runner: a fixed number, and more if its limit is higher. Each may
# have one request in hand, so that many hosts would exceed a small limit.
BASE_SENDERS = 3
SENDERS_PER_LIMIT = 1.5
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
# Seconds after `RunnerLimits.take` within which the counted request must be sent. Later
# ones would arrive together with those counted since.
TAKEN_VALID_S = 1.0
# The age of a statement grows less than the time, by as much as reports of it take on
# their way. A report replaces a limit only if it is newer by more than these seconds.
REPORT_TOLERANCE_S = 1.0
# Statements are repeated to other hosts for this many seconds, and those on the end of
# a limit are then removed.
REPEAT_S = 15.0


@dataclass(slots=True)
class RunnerRecord:
    """What one process of a runner has stated, and what this host may send it.

    All times are of the monotonic clock.

    Parameters
    ----------
    per_s : float or None, default=None
        Its limit in requests per second from all hosts together; None if it has none.
    stated_at : float, default=-inf
        Time of its newest statement on the limit.
    paused_until : float, default=-inf
        End of the pause that it wants from this host.
    allowance : float, default=0.0
        From 0 to 1; a request can be sent at 1. Not used without a limit or a recent
        pause.
    updated_at : float or None, default=None
        Time at which ``allowance`` was computed; None if it begins anew.
    rate_per_s : float, default=0.0
        Requests per second that this host may send.
    rate_until : float, default=-inf
        Time until which ``rate_per_s`` is used.
    limited_since : float, default=-inf
        Time at which this host learned that it has a limit.
    """

    per_s: float | None = None
    stated_at: float = -math.inf
    paused_until: float = -math.inf
    allowance: float = 0.0
    updated_at: float | None = None
    rate_per_s: float = 0.0
    rate_until: float = -math.inf
    limited_since: float = -math.inf

    def is_unrestricted(self, now: float) -> bool:
        """Return whether it has no limit and has not had a pause recently."""
        return self.per_s is None and now >= self.paused_until + RESUME_S

    def clear_allowance(self) -> None:
        """Let the allowance begin anew, from 0."""
        self.allowance, self.updated_at, self.rate_until = 0.0, None, -math.inf


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
        The hosts that may send requests, including those that were lost recently. A
        host that isn't one of them has no share.
    """
    if own not in hosts:
        return 0.0
    shares = min(
        max(len(hosts), MIN_SHARES), BASE_SENDERS + int(SENDERS_PER_LIMIT * per_s)
    )
    key = f"{runner.name}/{runner.started_at}"
    return 1 / shares if is_among_best(key, own, hosts, shares) else 0.0


class RunnerLimits:
    """Limits and pauses stated by runners, and this host's part of them.

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
        self._listeners: list[Callable[[], None]] = []
        self.by_runner: dict[RunnerKey, RunnerRecord] = {}

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` whenever a runner's answer changes its limit."""
        self._listeners.append(listener)

    def note(self, runner: RunnerKey, per_s: float | None) -> None:
        """Record the limit that a runner stated in an answer; None if it has ended."""
        if self._record(runner, per_s, self._now(), "answer"):
            for listener in self._listeners:
                listener()

    def note_absence(self, runner: RunnerKey, sent_at: float) -> None:
        """Record that an answer states no limit.

        It ends a limit only if its request was sent after the limit was stated: an
        answer may have begun before.

        Parameters
        ----------
        runner : RunnerKey
        sent_at : float
            Time at which the request was sent.
        """
        known = self.by_runner.get(runner)
        if known is not None and known.stated_at < sent_at:
            self.note(runner, None)

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
        if age_s <= REPEAT_S and self._is_newer(runner, per_s, stated_at):
            self._record(runner, per_s, stated_at, source)

    def _is_newer(
        self, runner: RunnerKey, per_s: float | None, stated_at: float
    ) -> bool:
        """Return whether a reported statement is newer than the one that is known.

        In doubt, a runner has a limit, and a statement is the known one, repeated.
        """
        known = self.by_runner.get(runner)
        if known is None:
            return True
        is_doubtful = per_s is None or per_s == known.per_s
        tolerance_s = REPORT_TOLERANCE_S if is_doubtful else 0.0
        return stated_at > known.stated_at + tolerance_s

    def note_pause(self, runner: RunnerKey, pause_s: float) -> None:
        """Record that a runner wants no requests from this host for some seconds.

        An answer with a shorter pause does not end a longer one.
        """
        record = self.by_runner.setdefault(runner, RunnerRecord())
        record.paused_until = max(record.paused_until, self._now() + pause_s)
        record.clear_allowance()
        self._metrics.count("runner_pauses")
        self._log.write(
            "runner.pause",
            runner=runner.name,
            started_at=runner.started_at,
            pause_s=round(pause_s, 3),
            ends_in_s=round(record.paused_until - self._now(), 3),
        )

    def recent(self) -> dict[RunnerKey, RunnerRecord]:
        """Return the records whose limits other hosts should be told."""
        since = self._now() - REPEAT_S
        return {
            runner: record
            for runner, record in self.by_runner.items()
            if record.stated_at >= since
        }

    def keep_only(self, runners: Collection[RunnerKey]) -> None:
        """Remove the records of other runners, and those that are of no more use."""
        now = self._now()
        for runner, record in list(self.by_runner.items()):
            is_told = record.stated_at >= now - REPEAT_S
            if runner not in runners or (record.is_unrestricted(now) and not is_told):
                del self.by_runner[runner]

    def may_send(self, runner: RunnerKey) -> bool:
        """Return whether this host may send a request to a runner now."""
        record = self.by_runner.get(runner)
        if record is None:
            return True
        now = self._now()
        if record.paused_until > now:
            return False
        if record.is_unrestricted(now):
            return True
        self._refill(runner, record, now)
        return record.allowance >= 1

    def take(self, runner: RunnerKey) -> bool:
        """Count a request that is sent to a runner; return False if none is allowed.

        Each arrival at the runner counts, including retries, prefills and requests
        that the runner rejects.
        """
        if not self.may_send(runner):
            return False
        record = self.by_runner.get(runner)
        if record is not None and not record.is_unrestricted(self._now()):
            record.allowance -= 1
        return True

    def take_late(self, runner: RunnerKey, taken_at: float) -> bool:
        """Count a request again that is sent some time after it was counted.

        It is counted as by `take` if the limit was not known then, or if that is longer
        ago than `TAKEN_VALID_S`.

        Parameters
        ----------
        runner : RunnerKey
        taken_at : float
            Time of the call of `take`.
        """
        record, now = self.by_runner.get(runner), self._now()
        if record is None or record.is_unrestricted(now):
            return True
        if taken_at >= max(record.limited_since, now - TAKEN_VALID_S):
            return True
        return self.take(runner)

    def rate_of(self, runner: RunnerKey) -> float:
        """Return the requests per second that this host may send to a runner."""
        record, now = self.by_runner.get(runner), self._now()
        if record is None:
            return MAX_RATE_PER_S
        if record.paused_until > now:
            return 0.0
        if record.is_unrestricted(now):
            return MAX_RATE_PER_S
        self._refill(runner, record, now)
        return record.rate_per_s

    def wait_s(self, runners: Iterable[RunnerKey]) -> float | None:
        """Return the seconds until a request may be sent to any of some runners.

        None if this host may send requests to none of them.
        """
        waits = (self._wait_of(runner) for runner in runners)
        return min((wait for wait in waits if wait is not None), default=None)

    def are_paused(self, runners: Collection[RunnerKey]) -> bool:
        """Return whether all of some runners want no requests from this host now."""
        now = self._now()
        records = [self.by_runner.get(runner) for runner in runners]
        return bool(records) and all(
            record is not None and record.paused_until > now for record in records
        )

    def limit_of(self, runner: RunnerKey) -> float | None:
        """Return a runner's limit in requests per second, or None if it has none."""
        record = self.by_runner.get(runner)
        return None if record is None else record.per_s

    def _wait_of(self, runner: RunnerKey) -> float | None:
        record = self.by_runner.get(runner)
        if record is None or self.may_send(runner):
            return 0.0
        pause_s = record.paused_until - self._now()
        if pause_s > 0:
            return pause_s
        if not record.rate_per_s:
            return None
        return (1 - record.allowance) / record.rate_per_s

    def _refill(self, runner: RunnerKey, record: RunnerRecord, now: float) -> None:
        """Bring the allowance of a restricted runner up to date."""
        if now >= record.rate_until:
            record.rate_per_s = self._own_rate(runner, record)
            record.rate_until = now + SHARE_REFRESH_S
        elapsed_s = 0.0 if record.updated_at is None else now - record.updated_at
        record.allowance = min(1.0, record.allowance + elapsed_s * record.rate_per_s)
        record.updated_at = now

    def _own_rate(self, runner: RunnerKey, record: RunnerRecord) -> float:
        if record.per_s is None:
            return RESUME_RATE_PER_S
        share = sender_share(runner, record.per_s, self._own_host, self._hosts())
        limit = min(max(record.per_s, MIN_RATE_PER_S), MAX_RATE_PER_S)
        return SAFETY_FACTOR * share * limit

    def _record(
        self, runner: RunnerKey, per_s: float | None, stated_at: float, source: str
    ) -> bool:
        """Store a statement on a limit; return whether it changes the limit."""
        record = self.by_runner.get(runner)
        if record is None:
            if per_s is None:
                return False
            record = self.by_runner[runner] = RunnerRecord()
        before, record.per_s, record.stated_at = record.per_s, per_s, stated_at
        if before == per_s:
            return False
        record.rate_until = -math.inf
        if before is None:
            record.limited_since = self._now()
            record.clear_allowance()
        self._metrics.count("runner_limit_changes")
        self._log.write(
            "runner.limit",
            runner=runner.name,
            started_at=runner.started_at,
            before=before,
            after=per_s,
            source=source,
            age_s=round(self._now() - stated_at, 3),
        )
        return True
