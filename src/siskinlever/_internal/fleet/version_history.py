"""Tells which software versions of each service serve, or did so lately.

A stream whose version no host knows may go on only where a single version can have
begun it. A host that starts can't see the versions that left before, so the hosts keep
a record of them in the store. This module decides what the record says; it does no I/O.

The load that it addresses is a release during which all hosts are killed. While one
version serves, the record doesn't change.

No wall clock is compared: the record states how long a version that left still counts,
and whoever reads it counts that time anew on its own clock, so it never ends early.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from ..exceptions import InvalidRecordError
from ..models.ids import ServiceName
from ..models.upstreams import Registration, SoftwareVersion
from ..utils.clock import boot_time
from .stream_versions import RETENTION_S

# Seconds for which a version that left counts as a possible origin of a stream. Hosts
# learn that a runner has left within 2 s, and may use it for 2 s longer after an outage
# of the store (`LAPSE_RECOVERY_S`).
RECENT_S = RETENTION_S + 5.0
# Seconds after which the remaining time in the record is lowered, so that hosts that
# start later don't count it from the beginning.
REFRESH_S = 10.0


@dataclass(frozen=True, slots=True, order=True)
class ServiceVersion:
    """A software version of a service."""

    service: ServiceName
    version: SoftwareVersion


# Stands for all versions of all services that may have served before the record began.
UNKNOWN = ServiceVersion(ServiceName(""), SoftwareVersion(""))


@dataclass(frozen=True, slots=True)
class Departure:
    """A version that left.

    Parameters
    ----------
    change : int
        Number of the change of the record that says so.
    remaining_s : float
        Seconds for which the version still counts, from when the record was read.
    """

    change: int
    remaining_s: float


@dataclass(frozen=True, slots=True)
class VersionRecord:
    """What the store says of the versions of all services.

    Parameters
    ----------
    era : int
        Era of the store in which it was written.
    change : int
        Rises by one with each write.
    departure_by_version : dict of ServiceVersion to Departure or None
        None for a version that serves.
    """

    era: int
    change: int
    departure_by_version: Mapping[ServiceVersion, Departure | None]

    def encode(self) -> bytes:
        """Return the record's value in the store."""
        versions = [
            [key.service, key.version, *_encoded(departure)]
            for key, departure in sorted(self.departure_by_version.items())
        ]
        document = {"era": self.era, "change": self.change, "versions": versions}
        return json.dumps(document).encode()


def decode_version_record(value: bytes) -> VersionRecord:
    """Decode a record; raises `InvalidRecordError`."""
    try:
        document = json.loads(value)
        departures = {
            ServiceVersion(ServiceName(str(service)), SoftwareVersion(str(version))): (
                Departure(int(left[0]), _remaining_s(left[1])) if left else None
            )
            for service, version, *left in document["versions"]
        }
        return VersionRecord(int(document["era"]), int(document["change"]), departures)
    except (LookupError, TypeError, ValueError, OverflowError, RecursionError) as error:
        raise InvalidRecordError(f"versions: {error!r}") from error


def _remaining_s(value: float) -> float:
    if not 0 <= float(value) <= RECENT_S:
        raise InvalidRecordError(f"versions: found {value!r} s")
    return float(value)


def engine_versions(runners: Iterable[Registration]) -> frozenset[ServiceVersion]:
    """Return the versions of the engines among some runners.

    Only engines answer with streams that can be resumed.
    """
    return frozenset(
        ServiceVersion(runner.service, runner.version)
        for runner in runners
        if runner.stage is not None
    )


@dataclass(frozen=True, slots=True)
class _Left:
    change: int
    until: float


class VersionHistory:
    """The record as this host knows it, and what it should say.

    Parameters
    ----------
    is_first_start : bool
        Whether the whole fleet starts for the first time. A missing record then means
        that no version has served before.
    now : callable, default=boot_time
        Clock in seconds that includes time spent suspended.
    """

    def __init__(
        self, is_first_start: bool, now: Callable[[], float] = boot_time
    ) -> None:
        self._is_first_start = is_first_start
        self._now = now
        self._serving: frozenset[ServiceVersion] = frozenset()
        self._left_by_version: dict[ServiceVersion, _Left] = {}
        self._change = 0
        # What this host last saw in the store; None if that is missing or void.
        self._stored: VersionRecord | None = None
        # Whether this host has read the store since it started.
        self.is_read = False

    def adopt(self, found: VersionRecord | None, era: int) -> None:
        """Take over what the store says, from a read or a write that succeeded.

        Parameters
        ----------
        found : VersionRecord or None
            None if the store has no record.
        era : int
            Era of the store that says so. A record of an earlier era comes from an
            older copy of the store; what this host has seen itself counts instead.
        """
        is_valid = found is not None and found.era == era
        if found is not None and is_valid:
            if found.change < self._change and self._is_of(era):
                # A read that was overtaken by a later one.
                return
            self._take_over(found)
        elif not self.is_read and (found is not None or not self._is_first_start):
            self._left_by_version[UNKNOWN] = _Left(0, self._now() + RECENT_S)
        self._stored = found if is_valid else None
        self._change = max(self._change, found.change if found else 0)
        self.is_read = True

    def propose(
        self, present: frozenset[ServiceVersion], era: int
    ) -> VersionRecord | None:
        """Return the record to write, or None if the stored one is right.

        Parameters
        ----------
        present : frozenset of ServiceVersion
            The versions of which this host knows runners that haven't left.
        era : int
        """
        change, now = self._change + 1, self._now()
        departures: dict[ServiceVersion, Departure | None] = {
            key: Departure(left.change, left.until - now)
            for key, left in self._left_by_version.items()
            if left.until > now
        }
        departures |= dict.fromkeys(self._serving, Departure(change, RECENT_S))
        departures |= dict.fromkeys(present, None)
        if self._is_of(era) and not self._differs(departures):
            return None
        return VersionRecord(era, change, departures)

    def recent(self, service: ServiceName) -> frozenset[SoftwareVersion] | None:
        """Return the versions that serve or did lately, or None if that isn't known."""
        now = self._now()
        living = {k for k, left in self._left_by_version.items() if left.until > now}
        if not self.is_read or UNKNOWN in living:
            return None
        return (
            frozenset(k.version for k in living | self._serving if k.service == service)
            or None
        )

    def lacks(self, service: ServiceName) -> bool:
        """Return whether the store names no version of a service."""
        known = {*self._serving, *self._left_by_version}
        return self.is_read and all(key.service != service for key in known)

    def is_recorded(self, version: ServiceVersion) -> bool:
        """Return whether the store says that a version serves."""
        return version in self._serving

    @property
    def is_mixed(self) -> bool:
        """Whether a service has several recent versions, or that isn't known."""
        services = {key.service for key in {*self._serving, *self._left_by_version}}
        recent = [self.recent(service) for service in services]
        return not self.is_read or any(v is None or len(v) > 1 for v in recent)

    def _is_of(self, era: int) -> bool:
        return self._stored is not None and self._stored.era == era

    def _take_over(self, found: VersionRecord) -> None:
        serving, lefts = set(), {}
        for key, departure in found.departure_by_version.items():
            if departure is None:
                serving.add(key)
                continue
            left = _Left(departure.change, self._now() + departure.remaining_s)
            known = self._left_by_version.get(key)
            if known is not None and known.change == left.change:
                # The time was already counted from an earlier read of this departure.
                left = min(left, known, key=lambda one: one.until)
            lefts[key] = left
        self._serving, self._left_by_version = frozenset(serving), lefts

    def _differs(self, departures: Mapping[ServiceVersion, Departure | None]) -> bool:
        assert self._stored is not None
        stored = self._stored.departure_by_version
        if stored.keys() != departures.keys():
            return True
        for key, after in departures.items():
            before = stored[key]
            if before is None or after is None:
                if before is not after:
                    return True
            elif before.remaining_s - after.remaining_s >= REFRESH_S:
                return True
        return False


def _encoded(departure: Departure | None) -> list[float]:
    if departure is None:
        return []
    return [departure.change, round(departure.remaining_s, 3)]
