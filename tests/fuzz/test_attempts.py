"""At most one completion of a request is granted, however its state is replicated."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from types import SimpleNamespace

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from lib.fake_peers import CallOutcome, FakePeers, Network

from siskinlever._internal.membership.members import Member, MemberState, MemberTable
from siskinlever._internal.metrics.registry import Metrics
from siskinlever._internal.requests.home import RequestHome
from siskinlever._internal.requests.registration import Registrar, Validity
from siskinlever._internal.timeline.recorder import Recorder
from siskinlever._internal.utils.clock import Deadline, HybridClock
from siskinlever._internal.utils.tasks import TaskSet
from siskinlever_testbed.model.virtual_time import VirtualTimeLoop

HOSTS = ("host-a", "host-b", "host-c")
REQUEST_IDS = ("critique-1", "lookup-2")
hosts = st.sampled_from(HOSTS)
MAX_RUNNING = 5
METHOD_BY_RPC = {
    "Register": "register",
    "Hold": "hold",
    "Complete": "complete",
    "Abandon": "abandon",
    "FetchEntry": "fetch_entry",
    "HandOver": "hand_over",
}


class AttemptsMachine(RuleBasedStateMachine):
    """Callers repeat requests at hosts that freeze and wrongly mark others dead.

    Calls between hosts are served once or twice, or lost, in any order.
    """

    checks_not_run = False

    def __init__(self):
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.network = Network()
        self.table_by_host = {}
        self.registrar_by_host = {}
        self.running = []
        self.attempts = []
        self.granted_by_id = defaultdict(list)
        self.dispatched = set()
        for host in HOSTS:
            self.run_in_loop(self._start_host, host)
        self.loop.advance_time(20.0)

    def run_in_loop(self, function, *arguments):
        async def wrapped():
            return function(*arguments)

        return self.loop.run_until_complete(wrapped())

    def _start_host(self, host):
        members = [Member(h, f"zone-{h}", 1, MemberState.ALIVE, "", "") for h in HOSTS]
        table = MemberTable(members[HOSTS.index(host)])
        table.listed = frozenset(HOSTS)
        for member in members:
            table.merge(member)
        peers = FakePeers(self.network, host)
        aborts = SimpleNamespace(add=lambda *_: None)
        common = (Recorder(host, HybridClock()), Metrics(), TaskSet())
        home = RequestHome(table, peers, aborts, *common)
        self.network.handler_by_host[host] = {
            rpc: getattr(home, method) for rpc, method in METHOD_BY_RPC.items()
        }
        self.table_by_host[host] = table
        self.registrar_by_host[host] = Registrar(table, peers, home, *common)

    @rule(host=hosts, request_id=st.sampled_from(REQUEST_IDS))
    @precondition(lambda self: len(self.running) < MAX_RUNNING)
    def add_request(self, host, request_id):
        ended = asyncio.Event()
        self.running.append(ended)
        attempt = self._attempt(host, request_id, ended)
        self.attempts.append(self.loop.create_task(attempt))
        self.loop.advance_time()

    async def _attempt(self, host, request_id, ended):
        request = SimpleNamespace(
            workspace="atelier",
            request_id=request_id,
            key=f"atelier/{request_id}",
            body_digest="digest",
            first_token_due=Deadline(1_000.0),
            resume_after=None,
            generated_id=False,
        )
        dispatched_before = request_id in self.dispatched
        registrar = self.registrar_by_host[host]
        result = await registrar.register(request)
        if result.is_error():
            return
        registered_attempt = result.ok
        confirmation = await registrar.confirm(request, registered_attempt, ())
        if self.checks_not_run:
            # A host confirms again at a replica before it refuses, and reports
            # "not run" only after such a confirmation.
            assert not (confirmation.allows_not_run and dispatched_before)
        if confirmation.validity is not Validity.CURRENT:
            await registrar.abandon(request, registered_attempt, ran=False)
            return
        self.dispatched.add(request_id)
        await ended.wait()
        if await registrar.complete(request, registered_attempt) is Validity.CURRENT:
            self.granted_by_id[request_id].append((host, registered_attempt.nonce))
        else:
            await registrar.abandon(request, registered_attempt, ran=True)

    @rule(data=st.data())
    @precondition(lambda self: self.running)
    def engine_ends(self, data):
        ended = self.running.pop(data.draw(st.integers(0, len(self.running) - 1)))
        ended.set()
        self.loop.advance_time()

    @rule(data=st.data(), fate=st.sampled_from(CallOutcome))
    @precondition(lambda self: self.network.ready)
    def settle(self, data, fate):
        number = data.draw(st.integers(0, len(self.network.ready) - 1))
        self.run_in_loop(self.network.settle, self.network.ready[number], fate)
        self.loop.advance_time()

    @rule()
    def serve_all(self):
        self.loop.advance_time()
        while self.network.ready:
            for call in self.network.ready:
                self.run_in_loop(self.network.settle, call, CallOutcome.SERVED)
            self.loop.advance_time()

    @rule(host=hosts)
    def freeze(self, host):
        if len(self.network.frozen) == 0:
            self.network.frozen.add(host)

    @rule()
    def thaw(self):
        self.network.frozen.clear()

    @rule(observer=hosts, subject=hosts)
    def mark_dead(self, observer, subject):
        if observer != subject and observer not in self.network.frozen:
            table = self.table_by_host[observer]
            self.run_in_loop(table.set_state, subject, MemberState.DEAD)

    @rule(sender=hosts, receiver=hosts)
    def exchange_members(self, sender, receiver):
        if not {sender, receiver} & self.network.frozen:
            for member in list(self.table_by_host[sender].by_host.values()):
                self.run_in_loop(self.table_by_host[receiver].merge, member)

    @rule(seconds=st.sampled_from([0.1, 0.5, 3.0, 12.0]))
    def time_passes(self, seconds):
        self.loop.advance_time(seconds)

    @invariant()
    def at_most_one_completion(self):
        for granted in self.granted_by_id.values():
            assert len(granted) <= 1, granted
        for attempt in self.attempts:
            assert not attempt.done() or attempt.exception() is None

    def teardown(self):
        self.loop.finish()


class NotRunMachine(AttemptsMachine):
    """No confirmation allows "not run" for a request that was dispatched."""

    checks_not_run = True


TestAttempts = AttemptsMachine.TestCase
TestNotRun = NotRunMachine.TestCase
