"""The registrations of runners that a host passes on to others.

In a large fleet few hosts read the store. The others fetch from these what has changed
since they last fetched, so each change has a number. Without that, a runner that
registered, or changed its stage, after a host's first fetch was unknown there until the
host read the store itself, which it does every 30 s.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from ..models.upstreams import Registration, RunnerKey
from ..platform.store import Item
from .runners import RunnerDirectory, RunnerState


@dataclass(frozen=True, slots=True)
class NumberedRegistration:
    """A registration as stored, and the number of its latest change at this host."""

    change: int
    registration: Registration
    item: Item


class KnownRegistrations:
    """Registrations as stored, numbered by their latest change.

    Parameters
    ----------
    runners : RunnerDirectory
        Tells which runners are gone; their registrations are not passed on.

    Attributes
    ----------
    change : int
        Number of the latest change.
    """

    def __init__(self, runners: RunnerDirectory) -> None:
        self._runners = runners
        self._by_runner: dict[RunnerKey, NumberedRegistration] = {}
        self.change = 0

    def replace_all(self, listed: Iterable[tuple[Registration, Item]]) -> None:
        """Take over a complete listing of the store."""
        before, self._by_runner = self._by_runner, {}
        for registration, item in listed:
            self._note(before.get(registration.key), registration, item)

    def merge(self, found: Iterable[tuple[Registration, Item]]) -> None:
        """Add registrations that another host has read, if they are newer."""
        self._remove_gone()
        for registration, item in found:
            known = self._by_runner.get(registration.key)
            if known and known.registration.sequence >= registration.sequence:
                continue
            self._note(known, registration, item)

    def since(self, change: int) -> list[Item]:
        """Return the registrations that changed later than a number."""
        self._remove_gone()
        return [
            known.item for known in self._by_runner.values() if known.change > change
        ]

    def _note(
        self,
        known: NumberedRegistration | None,
        registration: Registration,
        item: Item,
    ) -> None:
        if known is None or not _is_same(known.registration, registration):
            self.change += 1
            change = self.change
        else:
            change = known.change
        self._by_runner[registration.key] = NumberedRegistration(
            change, registration, item
        )

    def _remove_gone(self) -> None:
        for key in list(self._by_runner):
            runner = self._runners.by_key.get(key)
            if runner is None or runner.state is RunnerState.GONE:
                del self._by_runner[key]


def _is_same(one: Registration, other: Registration) -> bool:
    """Return whether two registrations differ in their sequence numbers at most."""
    return replace(one, sequence=other.sequence) == other


class FetchedChanges:
    """The registrations that were already fetched from each other host."""

    def __init__(self) -> None:
        self._latest_by_incarnation: dict[tuple[str, int], int] = {}

    def latest(self, host: str, incarnation: int) -> int:
        """Return the number of the latest change that was fetched; 0 for none."""
        return self._latest_by_incarnation.get((host, incarnation), 0)

    def note(self, host: str, incarnation: int, change: int) -> None:
        """Record that all changes up to a number were fetched."""
        for known in list(self._latest_by_incarnation):
            if known[0] == host and known[1] != incarnation:
                del self._latest_by_incarnation[known]
        self._latest_by_incarnation[host, incarnation] = change
