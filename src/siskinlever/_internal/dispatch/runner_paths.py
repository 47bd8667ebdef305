"""Decides how this host reaches each runner: directly or through another host.

A host may lose its links to some or all runners while callers and other hosts still
reach it, and the other hosts still reach the runners. It then serves its callers
through one of them, its helper. Whether a runner is lost is learned from connections,
runner by runner: the runner may be down, or the link to it alone.

The load in mind is a host that has lost all runners for seconds, or all hosts of an
availability zone that have.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..models.ids import HostName, ZoneName
from ..models.upstreams import Address, RunnerKey
from ..utils.clock import monotonic

# Seconds between two attempts to reach a lost runner directly.
TRIAL_PERIOD_S = 0.5
# A runner counts as lost for so many seconds after the latest failed attempt.
LOST_S = 3.0
# Seconds for which a host that could not help is asked last for the same runner.
FAILED_HELPER_S = 2.0
# Helpers that are asked for one connection.
MAX_HELPERS = 3


@dataclass(frozen=True, slots=True)
class Helper:
    """Another host that may open connections for this one.

    Parameters
    ----------
    host, zone : str
    peers_address : str
    is_suspect : bool
        Whether it did not answer a call recently.
    """

    host: HostName
    zone: ZoneName
    peers_address: Address
    is_suspect: bool = False


@dataclass(slots=True)
class LostRunner:
    """When the latest attempts to reach a runner directly failed and began."""

    failed_at: float
    tried_at: float


class RunnerPaths:
    """Which runners this host can't reach itself, and who may help.

    Parameters
    ----------
    own_zone : str
    now : callable, default=monotonic
    """

    def __init__(
        self, own_zone: ZoneName, now: Callable[[], float] = monotonic
    ) -> None:
        self._own_zone = own_zone
        self._now = now
        self._lost_by_runner: dict[RunnerKey, LostRunner] = {}
        self._failed_at_by_helper: dict[tuple[HostName, RunnerKey], float] = {}
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` whenever a runner is lost or reached again."""
        self._listeners.append(listener)

    def note_direct(self, runner: RunnerKey, reached: bool) -> bool:
        """Record the outcome of a direct connection; return whether it is a change."""
        was_lost = self.is_lost(runner)
        if reached:
            self._lost_by_runner.pop(runner, None)
        else:
            now = self._now()
            known = self._lost_by_runner.setdefault(runner, LostRunner(now, now))
            known.failed_at = now
        is_change = was_lost is reached
        if is_change:
            for listener in self._listeners:
                listener()
        return is_change

    def is_lost(self, runner: RunnerKey) -> bool:
        """Return whether direct connections to a runner have failed recently."""
        known = self._lost_by_runner.get(runner)
        return known is not None and self._now() - known.failed_at <= LOST_S

    def lost(self) -> list[RunnerKey]:
        """Return the runners that are lost, and forget the others."""
        for runner in list(self._lost_by_runner):
            if not self.is_lost(runner):
                del self._lost_by_runner[runner]
        return list(self._lost_by_runner)

    def claim_trial(self, runner: RunnerKey) -> bool:
        """Return whether to try a lost runner directly now."""
        known = self._lost_by_runner.get(runner)
        if known is None or self._now() - known.tried_at < TRIAL_PERIOD_S:
            return False
        known.tried_at = self._now()
        return True

    def note_helper_failed(self, host: HostName, runner: RunnerKey) -> None:
        """Record that a host could not open a connection to a runner."""
        self._failed_at_by_helper[(host, runner)] = self._now()

    def helpers(self, runner: RunnerKey, hosts: Iterable[Helper]) -> list[Helper]:
        """Return the hosts to ask for a connection to a runner, best first.

        Hosts of this host's availability zone come first, but the second is of another
        one if there is any: a whole zone may have lost the runners.

        Parameters
        ----------
        runner : RunnerKey
        hosts : iterable of Helper
            The hosts that do not report the runner as unreachable.
        """
        candidates = list(hosts)
        random.shuffle(candidates)
        candidates.sort(
            key=lambda helper: (
                *self._doubts(helper, runner),
                helper.zone != self._own_zone,
            )
        )
        first, others = candidates[:1], candidates[1:]
        others.sort(
            key=lambda helper: (
                *self._doubts(helper, runner),
                helper.zone == first[0].zone,
            )
        )
        return (first + others)[:MAX_HELPERS]

    def _doubts(self, helper: Helper, runner: RunnerKey) -> tuple[bool, bool]:
        """Return whether a host has failed to help, and whether it may be lost."""
        failed_at = self._failed_at_by_helper.get((helper.host, runner), -math.inf)
        return self._now() - failed_at < FAILED_HELPER_S, helper.is_suspect

    def forget(self, runner: RunnerKey) -> None:
        """Remove what is known of a process that is gone."""
        self._lost_by_runner.pop(runner, None)
        for key in [k for k in self._failed_at_by_helper if k[1] == runner]:
            del self._failed_at_by_helper[key]
