"""Follows the configuration, runners and hosts in the platform's store."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress

from ..exceptions import (
    HistoryLostError,
    InvalidRecordError,
    LeaseLapsedError,
    PlatformError,
)
from ..logs.lines import LogLines
from ..models.host_settings import HostSettings
from ..models.ids import HostName
from ..models.upstreams import Address, Registration
from ..platform import records
from ..platform.fields import parse_object, required_address, shown
from ..platform.store import Item, MetadataStore, Write
from ..utils.clock import monotonic
from .configuration import ConfigurationInForce
from .read_schedule import schedule_within
from .registrations import KnownRegistrations
from .runners import RunnerDirectory
from .store_health import StoreHealth
from .version_record import StoredVersions

HOSTS_PREFIX = "siskinlever/hosts/"
# Where keys fail closed, a host that follows the store calls it this often instead, and
# only briefly: the age of a proof includes the wait of its call, and a call that stays
# unanswered is noticed sooner. Some stores take a wait of 0 for their default.
PROOF_PERIOD_S = 0.9
PROOF_WAIT_S = 0.05
# Age in seconds of the proof from which a host that learns from others calls the store
# itself, and the seconds between such calls if they fail, which they do at all hosts at
# once when the store is down.
OWN_PROOF_AGE_S = 2.5
OWN_PROOF_RETRY_S = 3.0
HOSTS_PERIOD_S = 8.0
LEASE_S = 6.0
RENEW_PERIOD_S = 2.0
RETRY_S = 0.3
# Entries that can't be decoded of which the latest reason is kept.
MAX_UNDECODABLE = 1_000
# Seconds between two reads by a host that learns from others, and between two checks of
# whether it still does.
STANDBY_PERIOD_S = 30.0
ROLE_CHECK_S = 1.0


class _Retries:
    """Pauses before calls that follow failed ones; the first one follows at once.

    One call that fails may only have lost its connection.
    """

    def __init__(self) -> None:
        self._failures = 0

    def reset(self) -> None:
        """Note a call that succeeded."""
        self._failures = 0

    def next_pause_s(self, retry_s: float) -> float:
        """Note a call that failed; return the seconds until the next one."""
        self._failures += 1
        return 0.0 if self._failures == 1 else _with_jitter(retry_s)


class StoreFollower:
    """Reads the store, with one task per kind of record.

    Parameters
    ----------
    settings : HostSettings
    store : MetadataStore
    configuration : ConfigurationInForce
    runners : RunnerDirectory
    store_health : StoreHealth
    log : LogLines
    add_peer : callable
        Called with the peer address of each registered host.
    is_reader : callable, default=always
        Returns whether this host follows the store. If not, it learns from other hosts
        and reads the store only each `STANDBY_PERIOD_S`.
    versions : StoredVersions or None, default=None
        Records the versions of the runners before these are used.
    """

    def __init__(
        self,
        settings: HostSettings,
        store: MetadataStore,
        configuration: ConfigurationInForce,
        runners: RunnerDirectory,
        store_health: StoreHealth,
        log: LogLines,
        add_peer: Callable[[Address], None],
        is_reader: Callable[[], bool] = lambda: True,
        versions: StoredVersions | None = None,
    ) -> None:
        self._settings = settings
        self._store = store
        self._configuration = configuration
        self._runners = runners
        self.link = store_health
        self._log = log
        self._add_peer = add_peer
        self._is_reader = is_reader
        self._versions = versions
        self._schedule = schedule_within(settings.bounds.change)
        self._restored = asyncio.Event()
        store.on_restoration(self._handle_restoration)
        # What was last logged of each entry that can't be decoded.
        self._undecodable_by_key: dict[str, str] = {}
        self.registrations = KnownRegistrations(runners)
        # By the newest listing of the store; empty before the first one.
        self.registered_hosts: frozenset[HostName] = frozenset()

    def _handle_restoration(self) -> None:
        self.link.record_restoration(self._store.era)
        self._restored.set()
        self._restored = asyncio.Event()

    async def _sleep(self, period_s: float) -> None:
        """Wait about a period, or until the store is restored."""
        with suppress(TimeoutError):
            async with asyncio.timeout(_with_jitter(period_s)):
                await self._restored.wait()

    async def follow_configuration(self) -> None:
        """Keep the configuration up to date until cancelled."""
        revision = era = 0
        history_lost_at = float("-inf")
        retries = _Retries()
        while True:
            requested_at, called_at = monotonic(), self._configuration.now()
            if era != self._store.era:
                revision, era = 0, self._store.era
            try:
                if revision:
                    revision = await self._watch_configuration(revision)
                else:
                    revision = await self._read_configuration()
                self.link.record_success()
                retries.reset()
                self._configuration.confirm(called_at)
                if self._configuration.needs_proof:
                    await self._sleep(PROOF_PERIOD_S)
                await self._wait_for_turn(requested_at, self._needs_own_proof)
            except HistoryLostError:
                self._log.write("store.history_lost", revision=revision)
                revision = 0
                # The first loss is followed by a read at once.
                pause_s = history_lost_at + _with_jitter(RETRY_S) - monotonic()
                await asyncio.sleep(max(0.0, pause_s))
                history_lost_at = monotonic()
            except PlatformError as error:
                is_watch = revision > 0
                pause_s = self._note_failure(error, requested_at, is_watch, retries)
                # A watch may have hidden a change, so the next call is a read.
                revision = 0
                await asyncio.sleep(pause_s)

    def _note_failure(
        self,
        error: PlatformError,
        requested_at: float,
        is_watch: bool,
        retries: _Retries,
    ) -> float:
        """Record a call for the configuration that failed.

        Returns
        -------
        pause_s : float
            Seconds until the next call. After a watch there is a pause only if the
            store has cut it at once.
        """
        retry_s = RETRY_S if self._is_reader() else OWN_PROOF_RETRY_S
        if is_watch:
            self.link.record_lost_watch(error, requested_at)
            return max(0.0, _with_jitter(retry_s) - (monotonic() - requested_at))
        self.link.record_failure(error, requested_at, "read-configuration")
        return retries.next_pause_s(retry_s)

    def _needs_own_proof(self) -> bool:
        """Return whether the proofs of other hosts don't reach this one."""
        configuration = self._configuration
        return configuration.needs_proof and configuration.proof_age_s > OWN_PROOF_AGE_S

    async def _watch_configuration(self, revision: int) -> int:
        schedule = self._schedule
        wait_s = schedule.watch_s
        if self._configuration.needs_proof:
            wait_s = PROOF_WAIT_S
        changes = await self._store.watch(
            records.OPERATOR_PREFIX, revision, wait_s, schedule.answer_s
        )
        for event in changes.events:
            if isinstance(event, Item) and event.key == records.CONFIGURATION_KEY:
                self._configuration.advance(event.value, "store")
        return max(revision, changes.revision)

    async def _read_configuration(self) -> int:
        listing = await self._store.list_prefix(records.OPERATOR_PREFIX)
        for item in listing.items:
            if item.key == records.CONFIGURATION_KEY:
                self._configuration.advance(item.value, "store")
        return listing.revision

    async def follow_runners(self) -> None:
        """Keep the directory of runners up to date until cancelled."""
        retries = _Retries()
        while True:
            requested_at = monotonic()
            try:
                await self._read_runners()
                retries.reset()
                await self._sleep(self._schedule.runners_period_s)
                await self._wait_for_turn(requested_at)
            except PlatformError as error:
                self.link.record_failure(error, requested_at, "list-runners")
                await asyncio.sleep(retries.next_pause_s(RETRY_S))

    async def _wait_for_turn(
        self, read_at: float, is_urgent: Callable[[], bool] = lambda: False
    ) -> None:
        """Wait until this host follows the store, or has not read it for long.

        Parameters
        ----------
        read_at : float
            Monotonic time of the last read.
        is_urgent : callable, default=never
            Returns whether to read at once.
        """
        wait_until = read_at + _with_jitter(STANDBY_PERIOD_S)
        while not self._is_reader() and monotonic() < wait_until and not is_urgent():
            await asyncio.sleep(ROLE_CHECK_S)

    async def _read_runners(self) -> None:
        listing = await self._store.list_prefix(records.RUNNER_PREFIX)
        self.link.record_success()
        listed = list(self._decoded(listing.items))
        admitted = await self._use([registration for registration, _ in listed])
        usable = {registration.key for registration in admitted}
        # Set last: a host that starts fetches these, and must not get a part.
        self.registrations.replace_all(
            (registration, item)
            for registration, item in listed
            if registration.key in usable
        )

    async def _use(self, listed: list[Registration]) -> list[Registration]:
        """Update the directory from a listing; return the runners that may be used."""
        if self._versions is None:
            self._runners.replace_all(listed, self.link.outage_ended_at)
            return listed
        before = self._versions.admitted(listed)
        self._runners.replace_all(before, self.link.outage_ended_at)
        await self._versions.reconcile(listed)
        admitted = self._versions.admitted(listed)
        if len(admitted) > len(before):
            self._runners.replace_all(admitted, self.link.outage_ended_at)
        return admitted

    def add_known(self, items: list[tuple[str, bytes]]) -> None:
        """Merge registrations, as (key, value), that another host has read."""
        found = list(self._decoded(Item(key, value, 0, 0) for key, value in items))
        self._runners.add_known(registration for registration, _ in found)
        self.registrations.merge(found)

    def _decoded(self, items: Iterable[Item]) -> Iterator[tuple[Registration, Item]]:
        """Yield the registrations that can be decoded, each with its item."""
        for item in items:
            registration = self._decode_registration(item)
            if registration is not None:
                yield registration, item

    def _decode_registration(self, item: Item) -> Registration | None:
        try:
            return records.decode_registration(item.key, item.value)
        except InvalidRecordError as error:
            self._note_undecodable("runner.ignored", item.key, error.message)
            return None

    def _note_undecodable(self, event: str, key: str, reason: str) -> None:
        """Log why an entry is ignored, once for each reason."""
        if self._undecodable_by_key.get(key) == reason:
            return
        if len(self._undecodable_by_key) >= MAX_UNDECODABLE:
            self._undecodable_by_key.clear()
        self._undecodable_by_key[key] = reason
        self._log.write(event, key=shown(key), reason=reason)

    async def register_host(self) -> None:
        """Keep this host registered until cancelled."""
        lease = era = 0
        while True:
            requested_at = monotonic()
            if era != self._store.era:
                lease, era = 0, self._store.era
            try:
                lease = await self._renew_or_open_lease(lease)
                self.link.record_success()
                if era == self._store.era:
                    await self._sleep(RENEW_PERIOD_S)
            except PlatformError as error:
                self.link.record_failure(error, requested_at, "register-host")
                await asyncio.sleep(_with_jitter(RETRY_S))

    async def _renew_or_open_lease(self, lease: int) -> int:
        if lease:
            try:
                await self._store.renew_lease(lease)
                return lease
            except LeaseLapsedError:
                self._log.write("host.lease_lost", lease=lease)
        lease = await self._store.open_lease(LEASE_S)
        value = json.dumps({"peers": self._settings.listeners.peers}).encode()
        key = HOSTS_PREFIX + self._settings.host
        await self._store.transact({}, [Write(key, value, lease)])
        return lease

    async def follow_hosts(self) -> None:
        """Add the registered hosts as peers periodically until cancelled."""
        while True:
            requested_at = monotonic()
            try:
                items = (await self._store.list_prefix(HOSTS_PREFIX)).items
                self.registered_hosts = frozenset(
                    HostName(item.key.removeprefix(HOSTS_PREFIX)) for item in items
                )
                for item in items:
                    self._add_registered_peer(item)
                self.link.record_success()
            except PlatformError as error:
                self.link.record_failure(error, requested_at, "list-hosts")
            await asyncio.sleep(_with_jitter(HOSTS_PERIOD_S))
            await self._wait_for_turn(requested_at)

    def _add_registered_peer(self, item: Item) -> None:
        try:
            address = required_address(parse_object(item.value, "host"), "peers")
        except InvalidRecordError as error:
            self._note_undecodable("host.ignored", item.key, error.message)
            return
        self._add_peer(address)


def _with_jitter(period_s: float) -> float:
    return period_s * random.uniform(0.85, 1.15)
