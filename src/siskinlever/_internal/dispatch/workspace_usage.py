"""Orders waiting generations of the same urgency by the usage of their workspaces.

The load in mind is one workspace at five times its usual load that, in order of
arrival, would take the capacity of all others. Workspaces have usual loads of very
different size, so that equal parts for all would starve the large ones. A generation
therefore goes first whose workspace has recently got least relative to what it usually
gets. A workspace that is served much less often than the requests overall goes before
all others, so that none is starved.

Each host counts its own callers' generations only. With a dozen hosts it sees about one
in ten of each workspace, so that differences within a few generations don't count.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..models.ids import WorkspaceName
from ..utils.clock import monotonic
from ..utils.decay import DecayingSum

# Seconds after which usage counts half: recent usage, over which bursts are seen, and
# usual usage, which includes the bursts of a minute.
RECENT_HALF_LIFE_S = 4.0
USUAL_HALF_LIFE_S = 40.0
# Generations of average size in `RECENT_HALF_LIFE_S` by which usage must exceed the
# usual before it makes a clear difference.
TOLERATED_GENERATIONS = 2.0
# A workspace that is served less often than this share of the requests overall goes
# first. None may be served less than a quarter as often.
STARVED_SHARE = 0.4
# Rank of such a workspace; the others have ranks above 0.
STARVED_RANK = -1.0
# Workspaces that are counted. Those least recently seen are removed beyond it.
MAX_WORKSPACES = 4_000


@dataclass(slots=True)
class Usage:
    """What one workspace has asked for and got, in generations and in tokens."""

    asked: DecayingSum
    served: DecayingSum
    recent_tokens: DecayingSum
    usual_tokens: DecayingSum


class WorkspaceUsage:
    """The recent and the usual usage of each workspace at this host.

    Parameters
    ----------
    now : callable, default=monotonic
    """

    def __init__(self, now: Callable[[], float] = monotonic) -> None:
        self._now = now
        self._by_workspace: dict[WorkspaceName, Usage] = {}
        self._total = self._new_usage()

    def note_asked(self, workspace: WorkspaceName | None) -> None:
        """Record that a generation of a workspace waits for capacity."""
        if workspace is None:
            return
        usage = self._by_workspace.pop(workspace, None) or self._new_usage()
        self._by_workspace[workspace] = usage
        if len(self._by_workspace) > MAX_WORKSPACES:
            del self._by_workspace[next(iter(self._by_workspace))]
        usage.asked.add(1.0)
        self._total.asked.add(1.0)

    def note_served(self, workspace: WorkspaceName | None, tokens: int) -> None:
        """Record that a generation of a workspace got capacity for some tokens."""
        usage = self._by_workspace.get(workspace) if workspace is not None else None
        if usage is None:
            return
        for counted in (usage, self._total):
            counted.served.add(1.0)
            counted.recent_tokens.add(tokens)
            counted.usual_tokens.add(tokens)

    def rank(self, workspace: WorkspaceName | None) -> float:
        """Return the rank of a workspace's generations; the lowest goes first.

        All generations without a workspace have the same rank.
        """
        usage = self._by_workspace.get(workspace) if workspace is not None else None
        if usage is None or not self._total.served.value:
            return 1.0
        if self._is_starved(usage):
            return STARVED_RANK
        mean_tokens = self._total.recent_tokens.value / self._total.served.value
        tolerated = TOLERATED_GENERATIONS * mean_tokens
        usual = usage.usual_tokens.value * RECENT_HALF_LIFE_S / USUAL_HALF_LIFE_S
        return (usage.recent_tokens.value + tolerated) / (usual + tolerated)

    def _is_starved(self, usage: Usage) -> bool:
        asked, total_asked = usage.asked.value, self._total.asked.value
        if asked < 1.0 or not total_asked:
            return False
        overall = self._total.served.value / total_asked
        return usage.served.value / asked < STARVED_SHARE * overall

    def _new_usage(self) -> Usage:
        recent, usual = RECENT_HALF_LIFE_S, USUAL_HALF_LIFE_S
        return Usage(
            *(DecayingSum(s, self._now) for s in (recent, recent, recent, usual))
        )
