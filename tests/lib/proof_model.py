"""Model of how hosts keep the proof that they have the newest configuration.

Whom a host asks, when, and what a reply proves is decided by the program's own code;
calls to the store and exchanges with peers are modelled by their times and losses.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import count
from random import Random
from types import SimpleNamespace
from unittest.mock import Mock, patch

from siskinlever._internal.fleet import peer_sync, proof_renewal, store_follower
from siskinlever._internal.fleet.configuration import ConfigurationInForce
from siskinlever._internal.fleet.hosts import HostStatus
from siskinlever._internal.fleet.proof_renewal import ProofRenewal
from siskinlever._internal.fleet.serving_set import ServingView
from siskinlever._internal.models.host_settings import KeyBounds
from siskinlever._internal.models.routes import FleetConfiguration
from siskinlever._internal.peers import peer_pb2

REVOKE_S = 5.0
STORE_LATENCY_S = 0.01
PEER_LATENCY_S = 0.004


@dataclass(frozen=True)
class Approach:
    """How hosts that follow the store call it: wait and pause, and who is asked."""

    wait_s: float = store_follower.PROOF_WAIT_S
    pause_s: float = store_follower.PROOF_PERIOD_S
    asks: bool = True


@dataclass
class Faults:
    """What is lost.

    Parameters
    ----------
    store_loss, peer_loss : float
        Probability that a call to the store, or both tries of an exchange, stay
        unanswered.
    readers_cut_off : int
        Number of hosts that follow the store whose calls to it all fail.
    """

    store_loss: float = 0.0
    peer_loss: float = 0.0
    readers_cut_off: int = 0


@dataclass
class ModelHost:
    """One host of the model."""

    status: HostStatus
    configuration: ConfigurationInForce
    proofs: ProofRenewal
    view: ServingView
    partners: frozenset[str] = frozenset()
    due_by_address: dict[str, float] = field(default_factory=dict)
    called_at_by_address: dict[str, float] = field(default_factory=dict)
    busy: set[str] = field(default_factory=set)
    store_calls: int = 0
    exchanges: int = 0
    largest_age_s: float = 0.0
    is_cut_off: bool = False


class ProofModel:
    """A fleet in virtual time."""

    def __init__(
        self,
        hosts: int,
        seed: int,
        approach: Approach = Approach(),
        faults: Faults | None = None,
    ) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self._approach, self._faults = approach, faults or Faults()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = count()
        self.host_by_address: dict[str, ModelHost] = {}
        statuses = [
            HostStatus(
                f"h-{n}",
                f"zone-{n % 4}",
                1,
                f"c-{n}",
                f"p-{n}",
                serving=True,
                reads_store=True,
                cores=self.random.uniform(0.5, 2.15),
            )
            for n in range(hosts)
        ]
        self._known = [SimpleNamespace(status=status) for status in statuses]
        for status in statuses:
            self.host_by_address[status.peers_address] = self._new_host(status)
        for host in self.hosts:
            host.view.refresh()
        readers = [host for host in self.hosts if host.view.is_reader]
        for host in readers[: self._faults.readers_cut_off]:
            host.is_cut_off = True
        for host in self.hosts:
            self._start(host)
        # Statuses say who reads, which decides whom hosts ask.
        for known in self._known:
            host = self.host_by_address[known.status.peers_address]
            is_reader = host in readers and not host.is_cut_off
            known.status = replace(host.status, reads_store=is_reader)

    @property
    def hosts(self) -> list[ModelHost]:
        """All hosts."""
        return list(self.host_by_address.values())

    def _new_host(self, status: HostStatus) -> ModelHost:
        current = FleetConfiguration(1, {}, {}, workspace_by_key_digest={})
        configuration = ConfigurationInForce(
            lambda _: current, Mock(), KeyBounds(True, REVOKE_S), lambda: self.now
        )
        configuration.advance(b"1", "store")
        configuration.confirm(0.0)
        table = Mock(
            alive=lambda: [k for k in self._known if k.status.host != status.host]
        )
        proofs = ProofRenewal(configuration, table, lambda: self.now)
        view = ServingView(status.host, lambda: status, table, lambda: self.now)
        return ModelHost(status, configuration, proofs, view)

    def _start(self, host: ModelHost) -> None:
        if host.view.is_reader:
            self._at(self.random.uniform(0, 1.2), lambda: self._call_store(host))
        host.partners = host.view.partners() - {host.status.peers_address}
        for address in host.partners:
            self._schedule(host, address)
        self._at(
            self.random.uniform(0, peer_sync.MIN_PERIOD_S), lambda: self._tick(host)
        )

    def _at(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay_s, next(self._number), action))

    def run(self, seconds: float) -> None:
        """Run the model for some time."""
        with patch.object(proof_renewal.random, "choice", self.random.choice):
            while self._events[0][0] <= seconds:
                self.now, _, action = heapq.heappop(self._events)
                action()

    @property
    def largest_age_s(self) -> float:
        """Largest age that the proof of any host has reached."""
        return max(host.largest_age_s for host in self.hosts)

    def _call_store(self, host: ModelHost) -> None:
        approach, called_at = self._approach, self.now
        host.store_calls += 1
        if host.is_cut_off or self.random.random() < self._faults.store_loss:
            self._at(
                approach.wait_s + 0.8 + store_follower.RETRY_S * 1.15,
                lambda: self._call_store(host),
            )
            return

        def answered() -> None:
            host.configuration.confirm(called_at)
            pause_s = approach.pause_s * self.random.uniform(0.85, 1.15)
            self._at(pause_s, lambda: self._call_store(host))

        self._at(approach.wait_s + STORE_LATENCY_S, answered)

    def _period_s(self, host: ModelHost) -> float:
        period_s = len(host.partners) / peer_sync.MAX_PARTNER_EXCHANGES_PER_S
        return max(peer_sync.PERIOD_S, period_s) * self.random.uniform(0.85, 1.15)

    def _schedule(self, host: ModelHost, address: str) -> None:
        period_s = self._period_s(host)
        due_at = host.due_by_address[address] = self.now + period_s

        def due() -> None:
            if host.due_by_address[address] != due_at or address in host.busy:
                return
            called_at = host.called_at_by_address.get(address, float("-inf"))
            if self.now - called_at > period_s:
                self._exchange(host, address)
            else:
                self._schedule(host, address)

        self._at(period_s, due)

    def _exchange(self, host: ModelHost, address: str) -> None:
        if address in host.busy:
            return
        host.busy.add(address)
        host.exchanges += 1
        called_at, peer = self.now, self.host_by_address[address]
        is_lost = self.random.random() < self._faults.peer_loss
        reply = None
        if not is_lost:
            peer.called_at_by_address[host.status.peers_address] = self.now
            reply = peer_pb2.FleetState(
                configuration_version=1, configuration_age_ms=peer.proofs.age_ms()
            )

        def ended() -> None:
            host.busy.discard(address)
            if reply is not None:
                host.proofs.note(reply, called_at)
            if address in host.partners:
                self._schedule(host, address)

        delay_s = 2 * peer_sync.CALL_TIMEOUT_S if is_lost else PEER_LATENCY_S
        self._at(delay_s + peer_sync.MIN_PERIOD_S, ended)

    def _tick(self, host: ModelHost) -> None:
        age_s = host.configuration.proof_age_s
        host.largest_age_s = max(host.largest_age_s, age_s)
        if self._approach.asks:
            source = host.proofs.next_source(host.partners)
            if source is not None:
                self._exchange(host, source)
        self._at(peer_sync.MIN_PERIOD_S, lambda: self._tick(host))
