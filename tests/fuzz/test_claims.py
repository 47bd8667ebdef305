"""At most one claim of a request allows its dispatch.

This holds even if calls to the store are lost, late, refused or sent twice.
"""

from __future__ import annotations

from collections import defaultdict

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from lib.fake_key_value import CallOutcome, FakeKeyValue

from siskinlever._internal.coordination.leases import RetentionLease
from siskinlever._internal.metrics.registry import Metrics
from siskinlever._internal.requests.claim_batches import ClaimBatches
from siskinlever._internal.requests.claims import Claims
from siskinlever._internal.utils.tasks import TaskSet
from siskinlever_testbed.model.virtual_time import VirtualTimeLoop

HOSTS = ("host-a", "host-b", "host-c")
REQUEST_KEYS = ("atelier/proof-1", "brosur/draft-1")
MAX_PENDING = 12


class ClaimsMachine(RuleBasedStateMachine):
    """Several hosts claim the same requests."""

    def __init__(self):
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.store = FakeKeyValue()
        self.claims_by_host = {host: self._claims(host) for host in HOSTS}
        self.pending = []
        self.held = []
        self.dispatched_by_key = defaultdict(set)

    def _claims(self, host):
        tasks, metrics = TaskSet(), Metrics()
        lease = RetentionLease(self.store, host)
        batches = ClaimBatches(self.store, lease, tasks, metrics)
        return Claims(self.store, batches, "siskinlever", host, tasks, metrics)

    @rule(host=st.sampled_from(HOSTS), key=st.sampled_from(REQUEST_KEYS))
    @precondition(lambda self: len(self.pending) < MAX_PENDING)
    def add_claim(self, host, key):
        claim = self.claims_by_host[host].claim(key, "digest")
        self.pending.append((host, key, self.loop.create_task(claim)))
        self.loop.advance_time()

    @rule(data=st.data(), fate=st.sampled_from(CallOutcome))
    @precondition(lambda self: self.store.calls)
    def settle(self, data, fate):
        self.store.settle(data.draw(st.sampled_from(self.store.calls)), fate)
        self.loop.advance_time()

    @rule(data=st.data())
    @precondition(lambda self: self.store.late)
    def late_write_arrives(self, data):
        number = data.draw(st.integers(0, len(self.store.late) - 1))
        self.store.late.pop(number)()

    @rule(seconds=st.sampled_from([0.01, 0.3, 3.0]))
    def time_passes(self, seconds):
        self.loop.advance_time(seconds)

    @rule(data=st.data())
    @precondition(lambda self: self.held)
    def dispatch(self, data):
        _, key, nonce = self._draw_held(data)
        self.dispatched_by_key[key].add(nonce)

    @rule(data=st.data())
    @precondition(lambda self: self.held)
    def release(self, data):
        host, key, nonce = self._draw_held(data)
        self.loop.create_task(self.claims_by_host[host].release(key, nonce))
        self.loop.advance_time()

    def _draw_held(self, data):
        return self.held.pop(data.draw(st.integers(0, len(self.held) - 1)))

    @invariant()
    def only_one_may_dispatch(self):
        self._collect()
        holders_by_key = defaultdict(set)
        for _, key, nonce in self.held:
            holders_by_key[key].add(nonce)
        for key in REQUEST_KEYS:
            assert len(holders_by_key[key] | self.dispatched_by_key[key]) <= 1

    def _collect(self):
        for host, key, task in [claim for claim in self.pending if claim[2].done()]:
            self.pending.remove((host, key, task))
            if task.result().is_ok():
                self.held.append((host, key, task.result().ok))

    def teardown(self):
        while self.pending:
            self.store.serve_all(self.loop.advance_time)
            self.loop.advance_time(1.0)
            self.only_one_may_dispatch()
        self.loop.finish()


TestClaims = ClaimsMachine.TestCase
