"""Exchanges the evidence on crashes of runners with the other hosts.

New evidence is sent to all hosts that serve callers at once. A host that missed some,
or has just started, finds another digest in the regular exchange and fetches it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from ..dispatch.crash_causes import MAX_CRASHES, MAX_RUNS, SETTLE_S, Bar, CrashCauses
from ..dispatch.crash_evidence import Crash, CrashedRun
from ..exceptions import PeerError
from ..logs.lines import LogLines
from ..metrics.registry import Metrics
from ..models.traits import MAX_TRAITS, Trait
from ..models.upstreams import Address, RunnerKey
from ..peers import peer_pb2
from ..peers.link import Peers
from ..utils.clock import MS_PER_S, monotonic
from ..utils.tasks import TaskSet
from .hosts import HostStatus
from .messages import from_runner, to_runner

# Seconds in which changes are collected before they are sent.
COLLECT_S = 0.02
CALL_TIMEOUT_S = 0.4
# Minimum seconds between two fetches. Hosts that have given up different evidence
# would otherwise fetch at each exchange.
FETCH_PERIOD_S = 2.0
# Seconds in which changes are collected before the causes are searched for.
DECIDE_DELAY_S = 0.05
# Seconds between two searches for evidence that is no longer used.
FORGET_PERIOD_S = 30.0


class CrashReports:
    """Keeps the evidence of this host and the others alike, and logs the verdicts.

    Parameters
    ----------
    causes : CrashCauses
    others : callable
        Returns the other live hosts that serve callers.
    peers : Peers
    log : LogLines
    metrics : Metrics
    tasks : TaskSet
    """

    def __init__(
        self,
        causes: CrashCauses,
        others: Callable[[], Iterable[HostStatus]],
        peers: Peers,
        log: LogLines,
        metrics: Metrics,
        tasks: TaskSet,
    ) -> None:
        self.causes = causes
        self._others = others
        self._peers = peers
        self._log = log
        self._metrics = metrics
        self._tasks = tasks
        self._unsent: set[RunnerKey] = set()
        self._fetched_at = float("-inf")
        self._is_deciding = False

    async def run(self) -> None:
        """Forget evidence that is no longer used until cancelled."""
        while True:
            await asyncio.sleep(FORGET_PERIOD_S)
            self._decide()

    def report(self, runner: RunnerKey, runs: list[CrashedRun]) -> None:
        """Record that a runner has crashed under requests of this host."""
        self._metrics.count("runner_crashes")
        self._log.write(
            "runner.crashed",
            runner=runner.name,
            started_at=runner.started_at,
            requests=",".join(run.request for run in runs),
            weights=",".join(f"{run.weight:g}" for run in runs),
            traits=";".join(",".join(run.traits) for run in runs),
        )
        if self.causes.merge(runner, runs):
            self._publish([runner])
            self._tasks.start(self._decide_after(SETTLE_S), "crash-causes")

    def note_whole(self, traits: Iterable[Trait]) -> None:
        """Acquit the traits of a request with a whole answer."""
        changed = self.causes.note_whole(traits)
        if changed:
            self._publish([crash.runner for crash in changed])
            self._decide_soon()

    def lift(self, traits: Iterable[Trait]) -> None:
        """Acquit traits at all hosts, by the order of an operator."""
        traits = list(traits)
        self._log.write("traits.lift_ordered", traits=",".join(traits))
        self.note_whole(traits)

    def note_digest(self, address: Address, digest: int) -> None:
        """Fetch the evidence of a host whose digest differs."""
        if digest == self.causes.digest:
            return
        now = monotonic()
        if now - self._fetched_at >= FETCH_PERIOD_S:
            self._fetched_at = now
            self._tasks.start(self._fetch(address), "fetch-crashes")

    async def serve(self, message: peer_pb2.FleetCrashes) -> peer_pb2.FleetCrashes:
        """Merge the evidence of another host and return this host's."""
        keys = [from_runner(crash.runner) for crash in message.crashes]
        self._merge(message)
        crash_by_runner = self.causes.crash_by_runner
        if message.asks_all:
            return _to_crashes(crash_by_runner.values())
        return _to_crashes(crash_by_runner[k] for k in keys if k in crash_by_runner)

    def _publish(self, runners: Iterable[RunnerKey]) -> None:
        is_sending = bool(self._unsent)
        self._unsent.update(runners)
        if not is_sending:
            self._tasks.start(self._send(), "send-crashes")

    async def _send(self) -> None:
        await asyncio.sleep(COLLECT_S)
        unsent, self._unsent = self._unsent, set()
        crash_by_runner = self.causes.crash_by_runner
        message = _to_crashes(
            crash_by_runner[k] for k in unsent if k in crash_by_runner
        )
        await asyncio.gather(
            *(self._call(other.peers_address, message) for other in self._others())
        )

    async def _fetch(self, address: Address) -> None:
        message = _to_crashes(self.causes.crash_by_runner.values(), asks_all=True)
        await self._call(address, message)

    async def _call(self, address: Address, message: peer_pb2.FleetCrashes) -> None:
        try:
            reply = await self._peers.call_address(
                address, "ExchangeCrashes", message, CALL_TIMEOUT_S
            )
        except PeerError:
            # The link counts the failure; the next exchange of state shows another
            # digest.
            return
        changed = self._merge(reply)
        if changed and not message.asks_all:
            self._publish(changed)

    def _merge(self, message: peer_pb2.FleetCrashes) -> list[RunnerKey]:
        """Merge evidence; return the runners on which some was new."""
        changed = [
            runner
            for crash in message.crashes[:MAX_CRASHES]
            if self.causes.merge(
                runner := from_runner(crash.runner),
                map(_from_run, crash.runs[:MAX_RUNS]),
                map(Trait, crash.acquitted),
                crash.age_ms / MS_PER_S,
                crash.unused_ms / MS_PER_S,
                crash.reported_ms,
            )
        ]
        if changed:
            self._decide_soon()
            self._tasks.start(self._decide_after(SETTLE_S), "crash-causes")
        return changed

    async def _decide_after(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        self._decide_soon()

    def _decide_soon(self) -> None:
        """Search for causes once for all changes of the next moment."""
        if not self._is_deciding:
            self._is_deciding = True
            self._tasks.start(self._decide_once(), "decide-crashes")

    async def _decide_once(self) -> None:
        await asyncio.sleep(DECIDE_DELAY_S)
        self._is_deciding = False
        self._decide()

    def _decide(self) -> None:
        barred, lifted = self.causes.decide()
        for event, bars in (("traits.lifted", lifted), ("traits.barred", barred)):
            for bar in bars:
                self._log_bar(event, bar)
        self._metrics.gauge("barred_traits", len(self.causes.bars))

    def _log_bar(self, event: str, bar: Bar) -> None:
        runs = [
            run
            for crash in bar.crashes
            for run in crash.runs
            if bar.traits.issubset(run.traits)
        ]
        self._log.write(
            event,
            traits=",".join(sorted(bar.traits)),
            runners=",".join(bar.runners),
            requests=",".join(sorted({run.request for run in runs})),
            weight=sum(
                max(crash.weight_by_suspect().get(trait, 0.0) for trait in bar.traits)
                for crash in bar.crashes
            ),
        )


def _to_crashes(
    crashes: Iterable[Crash], asks_all: bool = False
) -> peer_pb2.FleetCrashes:
    now = monotonic()
    return peer_pb2.FleetCrashes(
        crashes=[
            peer_pb2.FleetCrash(
                runner=to_runner(crash.runner),
                runs=[
                    peer_pb2.FleetCrashedRun(
                        request=run.request, traits=run.traits, weight=run.weight
                    )
                    for run in crash.runs
                ],
                acquitted=sorted(crash.acquitted),
                age_ms=int((now - crash.at) * MS_PER_S),
                unused_ms=int((now - crash.used_at) * MS_PER_S),
                reported_ms=crash.reported_ms,
            )
            for crash in crashes
        ],
        asks_all=asks_all,
    )


def _from_run(run: peer_pb2.FleetCrashedRun) -> CrashedRun:
    traits = tuple(map(Trait, run.traits[:MAX_TRAITS]))
    return CrashedRun(run.request, traits, run.weight)
