"""The evidence by which failures of other tests are excused."""

from __future__ import annotations

import os

from lib import process_waits
from lib.process_waits import MIN_WAIT_S, NS_PER_S, ProcessWaits


def test_only_long_waits_that_overlap_the_span_are_returned(monkeypatch):
    waited_s, now = [0.0], [100.0]
    monkeypatch.setattr(process_waits, "_children", lambda: [])
    monkeypatch.setattr(
        process_waits, "_waited_ns", lambda pid: int(waited_s[0] * NS_PER_S)
    )
    monkeypatch.setattr(process_waits.time, "time", lambda: now[0])
    waits = ProcessWaits()
    for seconds in (0.5, MIN_WAIT_S / 2, 0.25):
        waits._sample()
        waited_s[0] += seconds
        now[0] += 1.0
    waits._sample()
    assert [(w.process, w.ended_at, w.seconds) for w in waits.between(0, 200)] == [
        ("test", 101.0, 0.5),
        ("test", 103.0, 0.25),
    ]
    assert [w.seconds for w in waits.between(101.5, 102.8)] == [0.25]
    assert waits.between(101.5, 102.5) == []


def test_processes_are_named_after_their_host_or_stand_in():
    assert process_waits._name(os.getpid()) == "test"
    assert process_waits._waited_ns(os.getpid()) >= 0
