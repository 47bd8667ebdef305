"""Simulates hosts that share a quota, and prints their use against its bound.

Usage:
  quota_model [--hosts=NUMBERS] [--callers=NAMES] [--ways=NAMES] [--seeds=N]
              [--first-seed=N] [--load=FACTOR] [--faults] [--requests]

Options:
  --hosts=NUMBERS   Comma-separated sizes of the fleet [default: 8,66,195,400].
  --callers=NAMES   Where callers connect, comma-separated; all by default.
  --ways=NAMES      Ways to share the quota, comma-separated; all by default.
  --seeds=N         Runs of each case [default: 3].
  --first-seed=N    Seed of the first run [default: 1].
  --load=FACTOR     What callers send, as a multiple of the rate [default: 1.5].
  --faults          Kill, start, suspend and partition hosts, lose messages and change
                    the limit.
  --requests        Count requests instead of tokens, without a tolerance.

Hosts run the exchange of allowances itself, in virtual time. What they know of each
other is simulated: a change reaches each of them after 0.2 s to 3 s.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import sys
from bisect import bisect_right
from collections import defaultdict, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from typing import Any

from docopt import docopt

from siskinlever._internal.exceptions import PeerError
from siskinlever._internal.fleet.allowance_exchange import AllowanceExchange
from siskinlever._internal.fleet.hosts import HostStatus
from siskinlever._internal.fleet.serving_set import serving_set
from siskinlever._internal.logs.lines import LogLines
from siskinlever._internal.metrics.registry import Metrics
from siskinlever._internal.models.host_settings import AllowanceBounds
from siskinlever._internal.models.ids import (
    HostName,
    Incarnation,
    WorkspaceName,
    ZoneName,
)
from siskinlever._internal.models.upstreams import Address
from siskinlever._internal.models.workspaces import (
    Allowance,
    AllowanceUnit,
    Workspace,
    key_digest,
)
from siskinlever._internal.utils.tasks import TaskSet

from .model.virtual_time import VirtualTimeLoop

NAME = WorkspaceName("w")
OTHER = WorkspaceName("v")
ZONES = 4
# Seconds before callers arrive, and for which they do.
WARM_UP_S = 6.0
LOAD_S = 24.0
# Seconds of the load that don't count for the use: the burst is used up in them.
SETTLE_S = 4.0
STEP_S = 0.01
CONFIGURATION_APPLY_S = 3.0
TOKENS = Allowance(AllowanceUnit.TOKENS, 47_000.0, 94_000.0, 200.0)
TOKEN_BOUNDS = AllowanceBounds(8.0, 0.1, 190_000.0)
REQUESTS = Allowance(AllowanceUnit.REQUESTS, 30.0, 60.0, 0.0)
REQUEST_BOUNDS = AllowanceBounds(8.0, 0.1, 0.0)
MEAN_COST = 3_300.0
MAX_COST = 10_000.0
# Share of the charged requests that no runner runs.
NOT_RUN_SHARE = 0.05
# Longest time in seconds that a request waits for capacity while the service has some.
CAPACITY_WAIT_S = 0.05


@dataclass(frozen=True, slots=True)
class Quota:
    """The allowance under test and its bounds."""

    allowance: Allowance
    bounds: AllowanceBounds

    def bound(self, allowance: Allowance) -> float:
        """Return the most units that may be used in a window."""
        used = allowance.rate_per_s * self.bounds.window_s + allowance.burst
        return used * (1 + self.bounds.overage) + self.bounds.tolerance

    def cost(self, rng: random.Random) -> float:
        """Return the cost of a random request."""
        if self.allowance.unit is AllowanceUnit.REQUESTS:
            return 1.0
        return min(MAX_COST, 200 + rng.expovariate(1 / (MEAN_COST - 200)))


TOKEN_QUOTA = Quota(TOKENS, TOKEN_BOUNDS)
REQUEST_QUOTA = Quota(REQUESTS, REQUEST_BOUNDS)


@dataclass(slots=True)
class _Configuration:
    """The part of `ConfigurationInForce` that the exchange uses."""

    version: int
    workspace_by_key_digest: dict[Any, Workspace]

    @property
    def current(self) -> _Configuration:
        return self


def _configuration(version: int, *allowances: Allowance) -> _Configuration:
    workspaces = [
        Workspace(name, frozenset(), None, allowance)
        for name, allowance in zip((NAME, OTHER), allowances, strict=False)
    ]
    return _Configuration(version, {key_digest(w.name.encode()): w for w in workspaces})


class _NoLog(LogLines):
    def __init__(self) -> None:
        pass

    def write(self, event: str, request: str = "", **fields: Any) -> None:
        """Discard the line."""


class Host:
    """One host; `exchange` is that of its process, None while it is down."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        rng = fleet.rng
        zone = f"z{number % ZONES}"
        self.status = HostStatus(
            HostName(f"h{number}"),
            ZoneName(zone),
            Incarnation(1),
            Address(""),
            Address(f"h{number}"),
            serving=True,
            cores=rng.uniform(0.5, 2.15),
        )
        self.name = self.status.host
        self.fleet = fleet
        self.group = 0
        self.suspended_until = 0.0
        self.learns_after_s = rng.uniform(0.2, 3.0)
        self.exchange: AllowanceExchange | None = None
        self.tasks = TaskSet()
        self.metrics = Metrics()
        self.way: Way | None = None

    def start(self) -> None:
        """Start its process, which knows nothing yet."""
        self.tasks = TaskSet()
        self.started_at = self.fleet.now
        self.exchange = AllowanceExchange(
            self.name,
            self.fleet.quota.bounds,
            self.serving,
            self.serving,
            lambda: self.fleet.way.lenders(self),
            self.fleet.configuration_of(self),  # type: ignore[arg-type]
            FakePeers(self),  # type: ignore[arg-type]
            _NoLog(),
            self.metrics,
            self.tasks,
        )
        self.tasks.start(self.exchange.run(), "run")
        self.way = self.fleet.way.create(self)

    async def stop(self) -> None:
        """Kill its process with all that it holds."""
        self.exchange = self.way = None
        await self.tasks.close()

    def known(self) -> list[HostStatus]:
        """Return the serving set by this host's knowledge."""
        return self.fleet.serving_known_to(self)

    def serving(self) -> list[HostName]:
        """Return the names of the serving set by this host's knowledge."""
        return [status.host for status in self.known()]


class FakePeers:
    """Calls that take a moment, and may be lost, late or served twice."""

    def __init__(self, caller: Host) -> None:
        self._caller = caller

    async def call_address(
        self, address: str, rpc: str, message: Any, timeout_s: float, tries: int = 1
    ) -> Any:
        """Make a call; raises `PeerError`."""
        fleet = self._caller.fleet
        fleet.calls += 1
        serving = asyncio.ensure_future(self._serve(address, message))
        await asyncio.wait({serving}, timeout=timeout_s)
        if not serving.done() or serving.result() is None:
            # A call that is not done is served late, and its reply is lost.
            raise PeerError(f"{rpc} at {address}")
        return serving.result()

    async def _serve(self, address: str, message: Any) -> Any:
        fleet, rng = self._caller.fleet, self._caller.fleet.rng
        target = fleet.host_by_name[HostName(address)]
        await asyncio.sleep(rng.uniform(0.0005, 0.002))
        is_lost = rng.random() < fleet.loss
        if is_lost and rng.random() < 0.5:
            await asyncio.sleep(1.0)
            return None
        if target.suspended_until > fleet.now:
            await asyncio.sleep(target.suspended_until - fleet.now)
        if target.exchange is None or target.group != self._caller.group:
            await asyncio.sleep(1.0)
            return None
        reply = await target.exchange.serve(message)
        if is_lost and rng.random() < 0.5:
            await target.exchange.serve(message)
        await asyncio.sleep(rng.uniform(0.0005, 0.002) + (1.0 if is_lost else 0.0))
        return reply


@dataclass(slots=True)
class Fleet:
    """Hosts, what they know of each other, and the requests that ran."""

    rng: random.Random
    quota: Quota
    way: type[Way]
    size: int
    loss: float = 0.0
    calls: int = 0
    hosts: list[Host] = field(default_factory=list)
    host_by_name: dict[HostName, Host] = field(default_factory=dict)
    # Times and costs of the requests that ran.
    runs: list[tuple[float, float]] = field(default_factory=list)
    offered: list[tuple[float, float]] = field(default_factory=list)
    refused: int = 0
    refused_again: int = 0
    # Allowances by the time from which they apply.
    limits: list[tuple[float, Allowance]] = field(default_factory=list)
    _changes: list[tuple[float, dict[HostName, int]]] = field(default_factory=list)
    _serving: dict[tuple[int, int], list[HostStatus]] = field(default_factory=dict)
    _configuration_by_host: dict[HostName, _Configuration] = field(default_factory=dict)

    @property
    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def start(self) -> None:
        """Create and start all hosts."""
        self.limits.append((0.0, self.quota.allowance))
        self.hosts = [Host(self, number) for number in range(self.size)]
        self.host_by_name = {host.name: host for host in self.hosts}
        for host in self.hosts:
            host.start()
        self.note_change()
        # They have known each other for some time.
        self._changes.insert(0, (-60.0, self._changes[0][1]))

    def configuration_of(self, host: Host) -> _Configuration:
        """Return the configuration in force at a host, which changes in place."""
        allowance = self.limits[-1][1]
        configuration = _configuration(len(self.limits), allowance, allowance)
        self._configuration_by_host[host.name] = configuration
        return configuration

    def change_limit(self, factor: float) -> None:
        """Multiply the limit; hosts apply it within `CONFIGURATION_APPLY_S`."""
        base = self.quota.allowance
        after = replace(
            base, rate_per_s=base.rate_per_s * factor, burst=base.burst * factor
        )
        self.limits.append((self.now, after))
        version = len(self.limits)
        for host in self.hosts:
            delay_s = self.rng.uniform(0.1, CONFIGURATION_APPLY_S)
            asyncio.get_running_loop().call_later(
                delay_s, self._apply, host.name, version, after
            )

    def _apply(self, host: HostName, version: int, allowance: Allowance) -> None:
        configuration = self._configuration_by_host[host]
        if version > configuration.version:
            new = _configuration(version, allowance, allowance)
            configuration.version = version
            configuration.workspace_by_key_digest = new.workspace_by_key_digest

    def note_change(self) -> None:
        """Record which hosts run, and which of them reach each other."""
        group_by_host = {h.name: h.group for h in self.hosts if h.exchange is not None}
        self._changes.append((self.now, group_by_host))

    def serving_known_to(self, host: Host) -> list[HostStatus]:
        """Return the serving set as a host knows it."""
        known_until = self.now - host.learns_after_s
        times = [at for at, _ in self._changes]
        index = max(0, bisect_right(times, known_until) - 1)
        group_by_host = self._changes[index][1]
        group = group_by_host.get(host.name)
        if group is None:
            return [host.status]
        if (index, group) not in self._serving:
            self._serving[index, group] = serving_set(
                self.host_by_name[name].status
                for name, other in group_by_host.items()
                if other == group
            )
        return self._serving[index, group]

    def serving_now(self) -> list[Host]:
        """Return the hosts that callers use: those that lookups return."""
        _, group_by_host = self._changes[-1]
        found = []
        for group in set(group_by_host.values()):
            statuses = [
                self.host_by_name[name].status
                for name, other in group_by_host.items()
                if other == group
            ]
            found += [self.host_by_name[s.host] for s in serving_set(statuses)]
        return sorted(found, key=lambda host: host.name)

    async def serve(self, host: Host, cost: float, is_retry: bool = False) -> None:
        """Serve one request, with one retry after a refusal."""
        if not is_retry:
            self.offered.append((self.now, cost))
        way = host.way
        if way is None or host.suspended_until > self.now:
            return
        wait_s = await way.serve(cost, self.rng.uniform(0, CAPACITY_WAIT_S))
        if wait_s is None:
            return
        self.refused += 1
        self.refused_again += is_retry
        if not is_retry:
            await asyncio.sleep(wait_s * self.rng.uniform(1, 1.2))
            await self.serve(host, cost, is_retry=True)

    def note_run(self, cost: float) -> None:
        """Record that a runner runs a request."""
        self.runs.append((self.now, cost))


class Way:
    """How hosts share a quota: by transfers, as the program does."""

    def __init__(self, host: Host) -> None:
        self.host = host

    @classmethod
    def create(cls, host: Host) -> Way:
        """Return what a host's process uses."""
        return cls(host)

    @staticmethod
    def lenders(host: Host) -> list[HostStatus]:
        """Return the hosts that a host may borrow from."""
        return [s for s in host.known() if s.host != host.name]

    async def serve(self, cost: float, capacity_wait_s: float) -> float | None:
        """Run a request if the quota permits; return the wait if it doesn't."""
        exchange, fleet = self.host.exchange, self.host.fleet
        assert exchange is not None
        ledger = exchange.ledger
        if not exchange.may_send(NAME, cost):
            return ledger.wait_s(NAME, cost)
        ledger.start_waiting(NAME, cost)
        await asyncio.sleep(capacity_wait_s)
        is_charged = await exchange.obtain(NAME, cost)
        ledger.stop_waiting(NAME, cost)
        if not is_charged:
            return ledger.wait_s(NAME, cost)
        if fleet.rng.random() < NOT_RUN_SHARE:
            await asyncio.sleep(0.02)
            ledger.give_back(NAME, cost)
        else:
            fleet.note_run(cost)
        return None


class EqualShares(Way):
    """Each host uses its own part only."""

    @staticmethod
    def lenders(host: Host) -> list[HostStatus]:
        """Return no host."""
        return []


class LateCount(Way):
    """Each host counts what all used, by reports that are `PERIOD_S` old at most."""

    PERIOD_S = 0.9

    def __init__(self, host: Host) -> None:
        super().__init__(host)
        self.used: deque[tuple[float, float]] = deque()
        self.total = 0.0
        self.reported: dict[HostName, float] = defaultdict(float)
        self.started_at = host.fleet.now
        host.tasks.start(self._report(), "report")

    async def _report(self) -> None:
        fleet = self.host.fleet
        while True:
            await asyncio.sleep(self.PERIOD_S * fleet.rng.uniform(0.85, 1.15))
            self._prune()
            for status in self.lenders(self.host):
                other = fleet.host_by_name[status.host]
                is_reached = other.group == self.host.group
                if isinstance(other.way, LateCount) and is_reached:
                    fleet.calls += 1
                    other.way.reported[self.host.name] = self.total

    def _prune(self) -> None:
        since = self.host.fleet.now - self.host.fleet.quota.bounds.window_s
        while self.used and self.used[0][0] < since:
            self.total -= self.used.popleft()[1]

    async def serve(self, cost: float, capacity_wait_s: float) -> float | None:
        """Run a request if the sum that is known leaves room."""
        fleet = self.host.fleet
        await asyncio.sleep(capacity_wait_s)
        self._prune()
        allowance = fleet.limits[-1][1]
        quota = allowance.rate_per_s * fleet.quota.bounds.window_s + allowance.burst
        if self.total + sum(self.reported.values()) + cost > quota:
            return cost / allowance.rate_per_s
        self.used.append((fleet.now, cost))
        self.total += cost
        fleet.note_run(cost)
        return None


WAY_BY_NAME: dict[str, type[Way]] = {
    "transfers": Way,
    "equal-shares": EqualShares,
    "late-count": LateCount,
}
Choose = Callable[[Fleet], list[Host]]


def _outside(fleet: Fleet) -> list[Host]:
    serving = {host.name for host in fleet.serving_now()}
    others = [host for host in fleet.hosts if host.name not in serving]
    return (others or fleet.hosts)[:1]


def _moving(fleet: Fleet) -> list[Host]:
    serving = fleet.serving_now()
    return [serving[int(fleet.now) * 5 % len(serving)]]


CHOOSE_BY_CALLERS: dict[str, Choose] = {
    "all": Fleet.serving_now,
    "one": lambda fleet: fleet.serving_now()[:1],
    "three": lambda fleet: fleet.serving_now()[:3],
    "moving": _moving,
    "outside": _outside,
}


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a run gave.

    Parameters
    ----------
    largest : float
        Largest sum in a window, as a fraction of its bound.
    used : float
        Use after `SETTLE_S` of load, as a fraction of the rate.
    calls_per_s : float
        Messages between all hosts.
    refused_again : float
        Share of the retries after a refusal that were refused.
    """

    largest: float
    used: float
    calls_per_s: float
    refused_again: float


async def _offer(fleet: Fleet, choose: Choose, load: float, tasks: TaskSet) -> None:
    rate = load * fleet.quota.allowance.rate_per_s
    mean = 1.0 if fleet.quota is REQUEST_QUOTA else MEAN_COST
    ends_at = fleet.now + LOAD_S
    while fleet.now < ends_at:
        hosts = [host for host in choose(fleet) if host.way is not None]
        # A step has a random number of requests; callers of a step choose each a host.
        for _ in range(_count(fleet.rng, rate * STEP_S / mean)):
            if hosts:
                host, cost = fleet.rng.choice(hosts), fleet.quota.cost(fleet.rng)
                tasks.start(fleet.serve(host, cost), "request")
        await asyncio.sleep(STEP_S)


def _count(rng: random.Random, mean: float) -> int:
    """Return a number of arrivals with an exponential distance."""
    return sum(1 for _ in itertools.takewhile(lambda t: t < mean, _arrivals(rng)))


def _arrivals(rng: random.Random) -> Iterator[float]:
    at = 0.0
    while True:
        at += rng.expovariate(1.0)
        yield at


async def _disturb(fleet: Fleet) -> None:
    """Let hosts fail, in an order that the seed determines."""
    rng = fleet.rng
    while True:
        await asyncio.sleep(rng.choice([0.2, 0.5, 1.0, 2.0, 4.0]))
        serving = fleet.serving_now()
        kind = rng.choice(
            ["kill", "start", "split", "heal", "suspend", "loss", "limit"]
        )
        if kind == "kill" and len(serving) > 2:
            for host in rng.sample(serving, rng.randint(1, 2)):
                await host.stop()
        elif kind == "start":
            for host in fleet.hosts:
                if host.exchange is None:
                    host.start()
        elif kind == "split":
            by_zone = rng.random() < 0.5
            for host in fleet.hosts:
                zone = int(host.status.zone[1:])
                host.group = zone if by_zone else rng.randrange(2)
        elif kind == "heal":
            for host in fleet.hosts:
                host.group = 0
        elif kind == "suspend":
            for host in rng.sample(serving, min(2, len(serving))):
                host.suspended_until = fleet.now + rng.uniform(0.1, 6.0)
        elif kind == "loss":
            fleet.loss = rng.choice([0.0, 0.1, 0.5])
        elif kind == "limit":
            fleet.change_limit(rng.choice([0.3, 1.0, 1.0, 1.5]))
        fleet.note_change()


def largest_share(fleet: Fleet) -> float:
    """Return the largest sum in a window, as a fraction of the bound there."""
    window_s = fleet.quota.bounds.window_s
    largest = total = 0.0
    first = 0
    for at, cost in fleet.runs:
        total += cost
        while fleet.runs[first][0] <= at - window_s:
            total -= fleet.runs[first][1]
            first += 1
        # A lower limit holds one window after all hosts have applied it.
        since = at - 2 * window_s - CONFIGURATION_APPLY_S
        in_force = [
            limit
            for index, (begin, limit) in enumerate(fleet.limits)
            if begin <= at
            and (index + 1 == len(fleet.limits) or fleet.limits[index + 1][0] >= since)
        ]
        largest = max(largest, total / max(map(fleet.quota.bound, in_force)))
    return largest


def simulate(
    size: int,
    callers: str,
    way: str,
    seed: int,
    has_faults: bool = False,
    quota: Quota = TOKEN_QUOTA,
    load: float = 1.5,
) -> Outcome:
    """Simulate one run of `WARM_UP_S` and `LOAD_S`."""
    # The exchange itself draws from the module's generator.
    random.seed(seed)
    fleet = Fleet(random.Random(seed), quota, WAY_BY_NAME[way], size)
    loop = VirtualTimeLoop()

    async def play() -> int:
        fleet.start()
        await asyncio.sleep(WARM_UP_S)
        calls_before = fleet.calls
        tasks = TaskSet()
        if has_faults:
            tasks.start(_disturb(fleet), "faults")
        await _offer(fleet, CHOOSE_BY_CALLERS[callers], load, tasks)
        await tasks.close()
        for host in fleet.hosts:
            await host.tasks.close()
        return fleet.calls - calls_before

    try:
        calls = loop.run_until_complete(play())
    finally:
        loop.finish()
    settled_at, ends_at = WARM_UP_S + SETTLE_S, WARM_UP_S + LOAD_S
    used = sum(cost for at, cost in fleet.runs if settled_at <= at < ends_at)
    usable = quota.allowance.rate_per_s * (ends_at - settled_at)
    retries = max(1, fleet.refused - fleet.refused_again)
    return Outcome(
        largest_share(fleet),
        used / usable,
        calls / LOAD_S,
        fleet.refused_again / retries,
    )


async def run(argv: list[str]) -> int:
    """Simulate the selected cases; return the exit code, 2 for invalid options."""
    options = docopt(__doc__ or "", argv=argv)
    # The simulation runs a separate event loop in virtual time, so it needs a thread.
    return await asyncio.to_thread(_run, options)


def _run(options: dict[str, Any]) -> int:
    try:
        sizes = [int(text) for text in options["--hosts"].split(",")]
        load = float(options["--load"])
        first, count = int(options["--first-seed"]), int(options["--seeds"])
        callers = _names(options["--callers"], CHOOSE_BY_CALLERS)
        ways = _names(options["--ways"], WAY_BY_NAME)
    except ValueError as error:
        print(error, file=sys.stderr)
        return 2
    quota = REQUEST_QUOTA if options["--requests"] else TOKEN_QUOTA
    print("hosts callers way largest/bound lowest-use calls/s refused-again")
    for size, where, way in itertools.product(sizes, callers, ways):
        found = [
            simulate(size, where, way, seed, options["--faults"], quota, load)
            for seed in range(first, first + count)
        ]
        print(
            f"{size:5} {where:8} {way:12} {max(o.largest for o in found):.3f} "
            f"{min(o.used for o in found):.3f} "
            f"{sum(o.calls_per_s for o in found) / count:8.1f} "
            f"{sum(o.refused_again for o in found) / count:.3f}",
            flush=True,
        )
    return 0


def _names(text: str | None, known: Any) -> list[str]:
    names = text.split(",") if text else list(known)
    unknown = sorted(set(names) - set(known))
    if unknown:
        raise ValueError(f"found {unknown}, allowed: {sorted(known)}")
    return names
