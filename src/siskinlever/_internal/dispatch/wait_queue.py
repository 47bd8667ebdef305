"""Queue of the generations that wait for capacity on this host.

When more generations arrive than the engines can hold, those that can still be on
time go first, by priority, by the recent usage of their workspaces, and by arrival
time. Late generations queue behind them for as long as their callers can still use the
answer.

Streams that may go on only at one software version queue apart, since the engines of
that version may be full while others are free. A generation that all engines have
failed waits for another one without holding up those behind it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from ..models.ids import WorkspaceName
from ..models.upstreams import SoftwareVersion
from ..utils.clock import monotonic
from .workspace_usage import WorkspaceUsage

# Minimum seconds between two orderings by waiters that poll, since each of them does.
REORDER_S = 0.02


@dataclass(slots=True, eq=False)
class Waiter:
    """A queued generation.

    Parameters
    ----------
    priority : int
        0 is the most urgent.
    arrived_at : float
        Monotonic time of arrival.
    on_time_until : float
        Monotonic time after which placing the generation makes its first event
        late.
    version : str or None, default=None
        The only software version of engines that it may use; None for any.
    workspace : str or None, default=None
        Workspace of the caller, if there are workspaces.
    needed_tokens : int, default=0
        Expected size of its KV cache when it ends, in tokens.
    has_engines : bool, default=True
        Whether there are engines that it may use; otherwise others pass it.
    at_head : asyncio.Event
        Set while the generation is the first of its version.
    """

    priority: int
    arrived_at: float
    on_time_until: float
    version: SoftwareVersion | None = None
    workspace: WorkspaceName | None = None
    needed_tokens: int = 0
    has_engines: bool = True
    at_head: asyncio.Event = field(default_factory=asyncio.Event)


class WaitQueue:
    """Generations of one service that wait for capacity.

    Parameters
    ----------
    now : callable, default=monotonic
    """

    def __init__(self, now: Callable[[], float] = monotonic) -> None:
        self._now = now
        self._waiters: list[Waiter] = []
        self._usage = WorkspaceUsage(now)
        self._reordered_at = float("-inf")

    def __len__(self) -> int:
        return len(self._waiters)

    @contextmanager
    def enqueued(self, waiter: Waiter) -> Iterator[None]:
        """Keep a waiter in the queue for the duration of the ``with`` block."""
        self._waiters.append(waiter)
        self._usage.note_asked(waiter.workspace)
        self.reorder()
        try:
            yield
        finally:
            self._waiters.remove(waiter)
            self.reorder()

    def note_served(self, waiter: Waiter) -> None:
        """Record that a waiter got capacity."""
        self._usage.note_served(waiter.workspace, waiter.needed_tokens)

    def reorder_if_due(self) -> None:
        """Recompute the heads unless that was done within `REORDER_S`."""
        if self._now() - self._reordered_at >= REORDER_S:
            self.reorder()

    def reorder(self) -> None:
        """Recompute the heads; waiters that became late move back."""
        now = self._reordered_at = self._now()
        rank_by_workspace = {
            workspace: self._usage.rank(workspace)
            for workspace in {waiter.workspace for waiter in self._waiters}
        }

        def sort_key(waiter: Waiter) -> tuple[bool, int, float, float]:
            return (
                now > waiter.on_time_until,
                waiter.priority,
                rank_by_workspace[waiter.workspace],
                waiter.arrived_at,
            )

        head_by_version: dict[SoftwareVersion | None, Waiter] = {}
        for waiter in sorted(self._waiters, key=sort_key):
            if not waiter.has_engines:
                waiter.at_head.clear()
            elif head_by_version.setdefault(waiter.version, waiter) is waiter:
                waiter.at_head.set()
            else:
                waiter.at_head.clear()
