"""Hands entries over to hosts that become replicas when the membership changes."""

from __future__ import annotations

import asyncio
from collections import defaultdict

from ..exceptions import PeerError
from ..membership.members import Member, MemberState, MemberTable
from ..metrics.registry import Metrics
from ..models.ids import HostName
from ..peers import peer_pb2
from ..peers.link import Peers
from ..utils.tasks import TaskSet
from .attempts import AttemptTable
from .homes import Homes, ReplicaPair
from .messages import to_message

HAND_OVER_TRIES = 5
HAND_OVER_PAUSE_S = 0.3
ENTRIES_PER_MESSAGE = 500


class EntryHandover:
    """Tracks the replicas of a table's entries and sends entries to new replicas.

    Parameters
    ----------
    table : AttemptTable
    homes : Homes
    members : MemberTable
    peers : Peers
    metrics : Metrics
    tasks : TaskSet
    """

    def __init__(
        self,
        table: AttemptTable,
        homes: Homes,
        members: MemberTable,
        peers: Peers,
        metrics: Metrics,
        tasks: TaskSet,
    ) -> None:
        self._table = table
        self._homes = homes
        self._members = members
        self._peers = peers
        self._metrics = metrics
        self._tasks = tasks
        self._pair_by_key: dict[str, ReplicaPair] = {}
        members.subscribe(self._on_member_changed)

    def track(self, key: str) -> None:
        """Record the current replicas of a request, unless it is tracked already."""
        self._pair_by_key.setdefault(key, self._homes.replicas_of(key))

    def expire(self) -> None:
        """Stop tracking requests that the table no longer contains."""
        kept = self._table.by_key
        self._pair_by_key = {
            key: pair for key, pair in self._pair_by_key.items() if key in kept
        }

    def _on_member_changed(self, before: Member | None, after: Member) -> None:
        restarted = before is not None and after.started > before.started
        if restarted or _may_be_home(before) != _may_be_home(after):
            self._send_reassigned(after.host)

    def _send_reassigned(self, changed: HostName) -> None:
        """Send entries to their replicas after a change of one host.

        Only entries whose replicas are affected by the change are sent.
        """
        own = self._members.own_host
        messages: dict[HostName, list[peer_pb2.Entry]] = defaultdict(list)
        for key, old in list(self._pair_by_key.items()):
            new = self._homes.pair_after(key, old, changed)
            entry = self._table.by_key.get(key)
            if entry is None or (new == old and changed not in new):
                continue
            self._pair_by_key[key] = new
            for host in new:
                if host is not None and host != own:
                    messages[host].append(to_message(key, entry))
        for host, entries in messages.items():
            self._tasks.start(self._send_entries(host, entries), "hand-over")

    async def _send_entries(
        self, host: HostName, entries: list[peer_pb2.Entry]
    ) -> None:
        for first in range(0, len(entries), ENTRIES_PER_MESSAGE):
            message = peer_pb2.HandOverRequest(
                host=self._members.own_host,
                entries=entries[first : first + ENTRIES_PER_MESSAGE],
            )
            for _ in range(HAND_OVER_TRIES):
                try:
                    await self._peers.call(host, "HandOver", message)
                    self._metrics.count("entries_handed_over", len(message.entries))
                    break
                except PeerError:
                    await asyncio.sleep(HAND_OVER_PAUSE_S)


def _may_be_home(member: Member | None) -> bool:
    """Whether a host takes part in the choice of homes.

    A host that is leaving or dead does not.
    """
    if member is None or member.leaving:
        return False
    return member.state is not MemberState.DEAD
