"""Chooses engines for a generation from the load of all hosts.

In a burst of long prompts the KV cache of the decode engines is exhausted first.
It is therefore reserved before the prefill, on the engine with the most free
capacity. The prompt then goes to the prefill engine with the shortest queue, or
is prefilled by the decode engine itself if the prefill engines would take too
long and the generations that run there can bear the pause.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from ..fleet.hosts import RunnerLoad
from ..models.ids import ZoneName
from ..models.routes import EngineSpec
from ..models.upstreams import Registration, RunnerKey, Stage
from .reachability import Reachability
from .recent_failures import RecentFailures
from .refused_reservations import RefusedReservations
from .urgency import ON_TIME_CAPACITY_SHARE, RecentPriorities

# Share of the capacity that is added to the free share of engines in this host's
# zone: about two generations. Hosts of different zones thereby ask different engines
# first, and few answers cross zones.
SAME_ZONE_BONUS = 0.25
# Seconds that a prompt waits longer for a prefill engine in the zone of the decode
# engine, so that its KV cache doesn't cross zones. About the time of one prompt.
OTHER_ZONE_WAIT_S = 0.1
# Seconds that a usual engine takes for the prompt itself: 3,200 tokens at 33 per ms. A
# slow engine without a queue takes longer than one of usual speed.
ONE_PROMPT_S = 0.1
# Tokens per second assumed until prefills have been timed. Each host then adjusts
# its rate to the prefills that it observes.
INITIAL_PREFILL_RATE = 25_000.0
# Weight of the newest observation in the moving average of the prefill rate.
PREFILL_RATE_WEIGHT = 0.2
# Weight of the newest generation in the totals of tokens and events.
OUTPUT_WEIGHT = 0.05
# Penalties for each recent generation that an engine lost or rejected. A decode
# engine needs this additional share of free capacity to be preferred; the
# expected wait at a prefill engine is increased by this many seconds.
FAILURE_CAPACITY_PENALTY = 0.15
FAILURE_WAIT_PENALTY_S = 0.1
# Seconds after which a failure counts half as much. Engine failures last for
# seconds, and a host sends a generation to each engine only every few seconds.
FAILURE_HALF_LIFE_S = 3.0
# Rate at which a decode engine prefills, as a share of that of a prefill engine.
DIRECT_PREFILL_RATE_SHARE = 0.5
# Prompt tokens that a decode engine prefills between two tokens of its generations.
DIRECT_PREFILL_PIECE_TOKENS = 256
# Share of the longest pause between two events that a prefill on a decode engine may
# cause in the streams that run there. The rest is for the pauses without it.
DIRECT_PREFILL_PAUSE_SHARE = 0.9
# Maximum seconds for which a late prompt waits for a prefill engine. Waiting avoids
# slowing down other generations on a decode engine, but the caller disconnects
# eventually.
MAX_LATE_PREFILL_WAIT_S = 1.0


@dataclass(slots=True)
class EnginePlacement:
    """Places generations on the engines of one service.

    Parameters
    ----------
    zone : str
        Zone of this host.
    load_of : callable
        Returns the load that all hosts are known to place on a runner.
    reachability_of : callable
        Returns the `Reachability` of a runner.
    prefill_rate : float, default=INITIAL_PREFILL_RATE
        Estimated prompt tokens per second of a prefill engine.
    refused : RefusedReservations
        Reservations that engines refused for lack of capacity.
    failures : RecentFailures
        Generations that the engines lost or rejected.
    priorities : RecentPriorities
        Priorities of the generations that arrived recently.
    output_tokens, output_events : float
        Totals over the generations that have ended, the recent ones weighted more.
    slowdown_of : callable
        Returns how many times the usual time work takes at an engine; 1.0 is normal.
    """

    zone: ZoneName
    load_of: Callable[[RunnerKey], RunnerLoad]
    reachability_of: Callable[[RunnerKey], Reachability]
    prefill_rate: float = INITIAL_PREFILL_RATE
    refused: RefusedReservations = field(default_factory=RefusedReservations)
    failures: RecentFailures = field(
        default_factory=lambda: RecentFailures(FAILURE_HALF_LIFE_S)
    )
    priorities: RecentPriorities = field(default_factory=RecentPriorities)
    output_tokens: float = 0.0
    output_events: float = 0.0
    slowdown_of: Callable[[RunnerKey], float] = lambda key: 1.0

    def decode_candidates(
        self,
        runners: Iterable[Registration],
        spec: EngineSpec,
        tokens: int,
        capacity_share: float = ON_TIME_CAPACITY_SHARE,
        excluded: Collection[RunnerKey] = (),
    ) -> list[Registration]:
        """Return the decode engines that may have capacity, best first.

        Parameters
        ----------
        runners : iterable of Registration
        spec : EngineSpec
        tokens : int
            Expected final KV cache use of the generation, in tokens.
        capacity_share : float, default=ON_TIME_CAPACITY_SHARE
            Share of an engine's memory up to which it may be used
            (`urgency.RecentPriorities`).
        excluded : collection of RunnerKey
        """
        candidates = [
            (
                self.reachability_of(runner.key),
                self.refused.is_doubtful(runner.key),
                -self._free_share(runner, spec),
                runner,
            )
            for runner in runners
            if runner.stage is Stage.DECODE
            and runner.key not in excluded
            and self._is_reachable(runner.key)
            and self._has_capacity(runner, spec, tokens, capacity_share)
        ]
        return [runner for *_, runner in sorted(candidates, key=lambda item: item[:3])]

    def prefill_candidate(
        self,
        runners: Iterable[Registration],
        decode_zone: ZoneName,
        slack_s: float,
        excluded: Collection[RunnerKey] = (),
        allows_direct: bool = True,
    ) -> Registration | None:
        """Return the prefill engine to use, or None to prefill on the decode engine.

        A prefill on a decode engine slows down all generations that run there.
        The prompt therefore waits for a prefill engine as long as its first
        event is still on time.

        Parameters
        ----------
        runners : iterable of Registration
        decode_zone : str
        slack_s : float
            Seconds for which the prompt can wait without delaying its first
            event past the target; negative if the event is already late.
        excluded : collection of RunnerKey
        allows_direct : bool, default=True
            Whether the decode engine may prefill if the wait would be longer. If
            False, it does so only if there is no prefill engine.
        """
        choices = [
            (
                self.reachability_of(runner.key),
                self._prefill_wait_s(runner)
                + FAILURE_WAIT_PENALTY_S * self.failures.count_of(runner.key),
                runner,
            )
            for runner in runners
            if runner.stage is Stage.PREFILL
            and runner.key not in excluded
            and self._is_reachable(runner.key)
        ]
        if not choices:
            return None
        # Another zone is used if it saves more than `OTHER_ZONE_WAIT_S`.
        _, wait_s, runner = min(
            choices,
            key=lambda choice: (
                choice[0],
                choice[1] + OTHER_ZONE_WAIT_S * (choice[2].zone != decode_zone),
            ),
        )
        allowed_s = slack_s if slack_s >= 0 else MAX_LATE_PREFILL_WAIT_S
        return runner if wait_s <= allowed_s or not allows_direct else None

    def allows_direct_prefill(
        self, runner: Registration, tokens: int, max_gap_s: float
    ) -> bool:
        """Return whether a decode engine may prefill a prompt itself.

        Their next events are late by the pieces of the prompt that the engine
        prefills between two tokens. Streams with many tokens an event pause until the
        whole prompt is prefilled.

        Parameters
        ----------
        runner : Registration
        tokens : int
            Length of the prompt.
        max_gap_s : float
            Longest pause in seconds between two events for which a stream is on
            time; 0 if there is none.
        """
        if max_gap_s <= 0 or not self.output_events:
            return True
        tokens_per_event = self.output_tokens / self.output_events
        queued = self.load_of(runner.key).prefill_tokens
        pause_tokens = min(
            queued + tokens, tokens_per_event * DIRECT_PREFILL_PIECE_TOKENS
        )
        pause_s = pause_tokens / (DIRECT_PREFILL_RATE_SHARE * self.prefill_rate)
        return pause_s <= DIRECT_PREFILL_PAUSE_SHARE * max_gap_s

    def note_output(self, likely_tokens: int, events: int) -> None:
        """Record the length of a generation that has ended.

        Parameters
        ----------
        likely_tokens : int
            The caller's estimate of its length, which is correct in the median.
        events : int
            Number of events in which it was sent.
        """
        if events:
            self.output_tokens += likely_tokens - OUTPUT_WEIGHT * self.output_tokens
            self.output_events += events - OUTPUT_WEIGHT * self.output_events

    def note_refused(self, key: RunnerKey, tokens: int) -> None:
        """Record that an engine refused a generation for lack of capacity.

        Parameters
        ----------
        key : RunnerKey
        tokens : int
            Expected final KV cache use of the generation, in tokens.
        """
        self.refused.note_refused(key, self.load_of(key).decode_tokens + tokens)

    def note_granted(self, key: RunnerKey) -> None:
        """Record that an engine granted a reservation."""
        self.refused.note_granted(key)

    def forget(self, runner: RunnerKey) -> None:
        """Remove what is known of a process that is gone."""
        self.refused.forget(runner)

    def update_prefill_rate(self, tokens: int, duration_s: float) -> None:
        """Update the prefill rate from a prompt that did not have to queue.

        Parameters
        ----------
        tokens : int
        duration_s : float
            Seconds that the prefill took.
        """
        rate = tokens / max(duration_s, 1e-3)
        self.prefill_rate += PREFILL_RATE_WEIGHT * (rate - self.prefill_rate)

    def _is_reachable(self, key: RunnerKey) -> bool:
        return self.reachability_of(key) is not Reachability.UNREACHABLE

    def _has_capacity(
        self, runner: Registration, spec: EngineSpec, tokens: int, share: float
    ) -> bool:
        load = self.load_of(runner.key)
        if load.requests >= spec.slots:
            return False
        final_tokens = load.decode_tokens + tokens
        return final_tokens <= share * spec.kv_capacity and self.refused.may_fit(
            runner.key, final_tokens
        )

    def _free_share(self, runner: Registration, spec: EngineSpec) -> float:
        used = self.load_of(runner.key).decode_tokens / max(1, spec.kv_capacity)
        failure_penalty = FAILURE_CAPACITY_PENALTY * self.failures.count_of(runner.key)
        # A slow engine gets fewer generations, but its memory is as large as others'.
        free = (1.0 - used) / self.slowdown_of(runner.key)
        return free + SAME_ZONE_BONUS * (runner.zone == self.zone) - failure_penalty

    def _prefill_wait_s(self, runner: Registration) -> float:
        slowdown = self.slowdown_of(runner.key)
        queued_s = self.load_of(runner.key).prefill_tokens / self.prefill_rate
        return queued_s * slowdown + ONE_PROMPT_S * (slowdown - 1.0)
