"""Admission: slots are never granted twice, late or for ever."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from siskinlever._internal.models.declaration import EnginePool, Model
from siskinlever._internal.routing.book import RELEASES_KEPT_S, PoolBook
from siskinlever._internal.routing.decode_lane import OVERDUE_S
from siskinlever._internal.routing.wishes import Placed, Wish

HOSTS = ("host-a", "host-b")
DECODE = ("decode-1", "decode-2")
PREFILL = ("prefill-1", "prefill-2")
MODELS = (
    Model(name="lookup", pool="copy"),
    Model(name="draft", pool="copy", urgency="deferrable"),
)
LONG_S = 1_000.0
# One decision grants prefills that follow each other within this time.
SEVERAL_GRANTS_S = 0.1


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
    """Hosts ask one home, whose pool changes under them."""

    model = MODELS[0]

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.pool = pool()
        self.book = PoolBook(self.pool)
        self.asked = {}
        self.released = {}
        self.placed_before = {}

    def _wish(self, host, model, tokens, due_s, excluded):
        number = len(self.asked) + 1
        return Wish(
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
    def ask(self, host, model, tokens, due_s, excluded):
        wish = self._wish(host, model, tokens, due_s, excluded)
        self.asked[wish.reservation_id] = wish
        self.book.ask(wish, self.now)

    def _draw(self, data, ids):
        return data.draw(st.sampled_from(sorted(ids)))

    @rule(data=st.data())
    @precondition(lambda self: self.asked)
    def ask_again(self, data):
        """A poll, or a message that comes after the release."""
        reservation_id = self._draw(data, self.asked)
        released_at = self.released.get(reservation_id, self.now)
        if self.now - released_at < RELEASES_KEPT_S:
            self.book.ask(self.asked[reservation_id], self.now)

    @rule(data=st.data())
    @precondition(lambda self: self.asked)
    def prefill_ends(self, data):
        self.book.prefill_ended(self._draw(data, self.asked), self.now)

    @rule(data=st.data())
    @precondition(lambda self: self.asked)
    def release(self, data):
        reservation_id = self._draw(data, self.asked)
        self.released.setdefault(reservation_id, self.now)
        self.book.release(reservation_id, self.now)

    @rule(
        decode=st.sampled_from(DECODE),
        prefill=st.sampled_from(PREFILL),
        ended=st.booleans(),
    )
    def announce(self, decode, prefill, ended):
        wish = self._wish(HOSTS[0], MODELS[0], 100, 0.0, ())
        self.asked[wish.reservation_id] = wish
        self.book.announce(Placed(wish, prefill, decode, ended), self.now)
        self.placed_before = dict(self.book.placed_by_id)

    @rule(
        slots=st.integers(1, 3),
        absent=st.sets(st.sampled_from(DECODE), max_size=1),
        leaving=st.sets(st.sampled_from(PREFILL + DECODE), max_size=1),
    )
    def reconfigure(self, slots, absent, leaving):
        self.pool = pool(slots, absent, leaving)
        self.book.configure(self.pool)

    @rule(seconds=st.sampled_from([0.005, 0.1, 0.5, 3.0]))
    def time_passes(self, seconds):
        self.now += seconds
        self.book.decide(self.now)

    @rule(host=st.sampled_from(HOSTS))
    def host_dies(self, host):
        for reservation_id in self.book.of_host(host, 1):
            self.released.setdefault(reservation_id, self.now)
            self.book.release(reservation_id, self.now)
        assert not self.book.of_host(host, 1)

    @invariant()
    def each_ask_has_one_state(self):
        book = self.book
        states = Counter([*book.waiting_by_id, *book.placed_by_id, *book.refused_by_id])
        assert all(count == 1 for count in states.values())
        assert set(states) == set(self.asked) - set(self.released)

    @invariant()
    def grants_are_open_free_and_in_time(self):
        runner_by_name = {runner.name: runner for runner in self.pool.runners}
        for reservation_id, placed in self.book.placed_by_id.items():
            if reservation_id in self.placed_before:
                continue
            prefill = self.book.prefill_by_runner[placed.prefill_runner]
            assert prefill.free_at(self.now) <= placed.wish.due + SEVERAL_GRANTS_S
            for name in (placed.decode_runner, placed.prefill_runner):
                assert not runner_by_name[name].leaving
                assert name not in placed.wish.excluded_runners
            slots = runner_by_name[placed.decode_runner].slots
            assert self._staying(reservation_id, placed.decode_runner) < slots
        self.placed_before = dict(self.book.placed_by_id)

    def _staying(self, reservation_id, runner):
        """Count others that outstay a reservation, or whose end is not known."""
        ends = self.book.decode_by_runner[runner].end_by_reservation
        others = [
            ends.get(known)
            for known, placed in self.book.placed_by_id.items()
            if placed.decode_runner == runner and known != reservation_id
        ]
        own = ends[reservation_id]
        return sum(not end or end > own or end < self.now - OVERDUE_S for end in others)

    def teardown(self):
        """When all is released, all slots can be granted again, and no more."""
        for reservation_id in self.asked:
            self.book.release(reservation_id, self.now)
        self.pool = pool(slots=3)
        self.book.configure(self.pool)
        self.now += LONG_S
        wishes = [self._late_wish(number) for number in range(8)]
        for wish in wishes:
            self.book.ask(wish, self.now)
            self.book.prefill_ended(wish.reservation_id, self.now)
        assert len(self.book.placed_by_id) == 6
        assert len(self.book.waiting_by_id) == 2

    def _late_wish(self, number):
        model = Model(name="never-served", pool="copy")
        wish = self._wish(HOSTS[0], model, 10, LONG_S, ())
        return replace(wish, reservation_id=f"late-{number}")


TestAdmission = AdmissionMachine.TestCase
