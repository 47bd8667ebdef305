"""Cases that fuzzing of the admission found."""

from __future__ import annotations

from fuzz.test_admission import AdmissionMachine, pool


def _machine_with_full_runner():
    machine = AdmissionMachine()
    for _ in range(2):
        machine.announce(decode="decode-2", prefill="prefill-1", ended=True)
    return machine


def test_ask_after_its_release_holds_nothing():
    machine = AdmissionMachine()
    wish = machine._wish("host-a", machine.model, 10, 5.0, ())
    machine.book.release(wish.reservation_id, machine.now)
    machine.book.ask(wish, machine.now)
    assert not machine.book.placed_by_id


def test_runner_declared_again_keeps_its_reservations():
    machine = _machine_with_full_runner()
    machine.book.configure(pool(absent=("decode-2",)))
    machine.book.configure(pool(absent=("decode-1",)))
    machine.book.ask(machine._wish("host-a", machine.model, 10, 5.0, ()), machine.now)
    assert len(machine.book.placed_by_id) == 2


def test_refused_ask_stays_refused():
    machine = _machine_with_full_runner()
    machine.book.configure(pool(leaving=("decode-1", "decode-2")))
    wish = machine._wish("host-a", machine.model, 10, 5.0, ())
    machine.book.ask(wish, machine.now)
    machine.book.configure(pool())
    machine.book.ask(wish, machine.now)
    assert wish.reservation_id in machine.book.refused_by_id
    assert wish.reservation_id not in machine.book.placed_by_id
