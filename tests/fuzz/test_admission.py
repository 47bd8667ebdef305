"""Slots are never granted twice or too late, and are always freed."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from siskinlever._internal.models.declaration import EnginePool, Model
from siskinlever._internal.routing.decode_tracker import OVERDUE_S
from siskinlever._internal.routing.reservations import (
    GrantedReservation,
    ReservationRequest,
)
from siskinlever._internal.routing.scheduler import RELEASE_RETENTION_S, PoolScheduler

HOSTS = ("host-a", "host-b")
DECODE = ("decode-1", "decode-2")
PREFILL = ("prefill-1", "prefill-2")
MODELS = (
    Model(name="lookup", pool="copy"),
    Model(name="draft", pool="copy", urgency="deferrable"),
)
# Far longer than `RELEASE_RETENTION_S` and the window of the load estimates.
LONG_S = 1_000.0
# Tolerance, because one decision can grant several prefills on the same runner,
# which follow each other within this time.
GRANT_BATCH_S = 0.1


def pool(slots=2, absent=(), leaving=()):
    runners = [
        {
            "name": name,
            "address": "127.0.0.1:1",
            "zone": "hall-a",
            "role": "decode" if name in DECODE else "prefill",
            "slots": slots,
            "leaving": name in leaving,
        }
        for name in PREFILL + DECODE
        if name not in absent
    ]
    return EnginePool.model_validate({"name": "copy", "runners": runners})


class AdmissionMachine(RuleBasedStateMachine):
    """Requests of two hosts to one scheduler whose pool is reconfigured."""

    model = MODELS[0]

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.pool = pool()
        self.scheduler = PoolScheduler(self.pool)
        self.submitted = {}
        self.released = {}
        self.granted_before = {}

    def _request(self, host, model, tokens, due_s, excluded):
        number = len(self.submitted) + 1
        return ReservationRequest(
            reservation_id=f"{host}~{number}",
            request_id=f"request-{number}",
            host=host,
            incarnation=1,
            model=model,
            prompt_tokens=tokens,
            max_tokens=50,
            prefix_hashes=(tokens % 3,),
            due=self.now + due_s,
            excluded_runners=frozenset(excluded),
        )

    @rule(
        host=st.sampled_from(HOSTS),
        model=st.sampled_from(MODELS),
        tokens=st.sampled_from([10, 1_000, 4_000]),
        due_s=st.sampled_from([0.0, 0.2, 0.71, 5.0, LONG_S]),
        excluded=st.sets(st.sampled_from(PREFILL + DECODE), max_size=1),
    )
    def submit(self, host, model, tokens, due_s, excluded):
        requested = self._request(host, model, tokens, due_s, excluded)
        self.submitted[requested.reservation_id] = requested
        self.scheduler.submit(requested, self.now)

    def _draw(self, data, ids):
        return data.draw(st.sampled_from(sorted(ids)))

    @rule(data=st.data())
    @precondition(lambda self: self.submitted)
    def submit_again(self, data):
        """Submit again, as for a poll or a message that arrives after the release."""
        reservation_id = self._draw(data, self.submitted)
        released_at = self.released.get(reservation_id, self.now)
        if self.now - released_at < RELEASE_RETENTION_S:
            self.scheduler.submit(self.submitted[reservation_id], self.now)

    @rule(data=st.data())
    @precondition(lambda self: self.submitted)
    def prefill_ends(self, data):
        self.scheduler.prefill_ended(self._draw(data, self.submitted), self.now)

    @rule(data=st.data())
    @precondition(lambda self: self.submitted)
    def release(self, data):
        reservation_id = self._draw(data, self.submitted)
        self.released.setdefault(reservation_id, self.now)
        self.scheduler.release(reservation_id, self.now)

    @rule(
        decode=st.sampled_from(DECODE),
        prefill=st.sampled_from(PREFILL),
        ended=st.booleans(),
    )
    def announce(self, decode, prefill, ended):
        requested = self._request(HOSTS[0], MODELS[0], 100, 0.0, ())
        self.submitted[requested.reservation_id] = requested
        self.scheduler.announce(
            GrantedReservation(requested, prefill, decode, ended), self.now
        )
        self.granted_before = dict(self.scheduler.granted_by_id)

    @rule(
        slots=st.integers(1, 3),
        absent=st.sets(st.sampled_from(DECODE), max_size=1),
        leaving=st.sets(st.sampled_from(PREFILL + DECODE), max_size=1),
    )
    def reconfigure(self, slots, absent, leaving):
        self.pool = pool(slots, absent, leaving)
        self.scheduler.configure(self.pool)

    @rule(seconds=st.sampled_from([0.005, 0.1, 0.5, 3.0]))
    def time_passes(self, seconds):
        self.now += seconds
        self.scheduler.decide(self.now)

    @rule(host=st.sampled_from(HOSTS))
    def host_dies(self, host):
        for reservation_id in self.scheduler.reservations_of(host, 1):
            self.released.setdefault(reservation_id, self.now)
            self.scheduler.release(reservation_id, self.now)
        assert not self.scheduler.reservations_of(host, 1)

    @invariant()
    def each_request_has_one_state(self):
        scheduler = self.scheduler
        states = Counter(
            [
                *scheduler.waiting_by_id,
                *scheduler.granted_by_id,
                *scheduler.refused_by_id,
            ]
        )
        assert all(count == 1 for count in states.values())
        assert set(states) == set(self.submitted) - set(self.released)

    @invariant()
    def grants_respect_capacity_and_deadlines(self):
        runner_by_name = {runner.name: runner for runner in self.pool.runners}
        for reservation_id, granted in self.scheduler.granted_by_id.items():
            if reservation_id in self.granted_before:
                continue
            prefill = self.scheduler.prefill_by_runner[granted.prefill_runner]
            assert prefill.free_at(self.now) <= granted.requested.due + GRANT_BATCH_S
            for name in (granted.decode_runner, granted.prefill_runner):
                assert not runner_by_name[name].leaving
                assert name not in granted.requested.excluded_runners
            slots = runner_by_name[granted.decode_runner].slots
            assert (
                self._concurrent_holders(reservation_id, granted.decode_runner) < slots
            )
        self.granted_before = dict(self.scheduler.granted_by_id)

    def _concurrent_holders(self, reservation_id, runner):
        """Count the runner's other reservations that may still hold a slot at the end.

        These end later, are overdue by more than `OVERDUE_S`, or have no known end.
        """
        ends = self.scheduler.decode_by_runner[runner].end_by_reservation
        others = [
            ends.get(other_id)
            for other_id, granted in self.scheduler.granted_by_id.items()
            if granted.decode_runner == runner and other_id != reservation_id
        ]
        own = ends[reservation_id]
        return sum(not end or end > own or end < self.now - OVERDUE_S for end in others)

    def teardown(self):
        """Check that after all releases, exactly as many grants as slots are made."""
        for reservation_id in self.submitted:
            self.scheduler.release(reservation_id, self.now)
        self.pool = pool(slots=3)
        self.scheduler.configure(self.pool)
        self.now += LONG_S
        requests = [self._late_request(number) for number in range(8)]
        for requested in requests:
            self.scheduler.submit(requested, self.now)
            self.scheduler.prefill_ended(requested.reservation_id, self.now)
        assert len(self.scheduler.granted_by_id) == 6
        assert len(self.scheduler.waiting_by_id) == 2

    def _late_request(self, number):
        model = Model(name="never-served", pool="copy")
        requested = self._request(HOSTS[0], model, 10, LONG_S, ())
        return replace(requested, reservation_id=f"late-{number}")


TestAdmission = AdmissionMachine.TestCase
