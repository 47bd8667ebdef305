"""Comparison with the naive policy: equal answers and no wasted prefill."""

from __future__ import annotations

import random

import pytest
from lib.engine_model import Arrival, Engines, serve_naive, serve_with_scheduler

from siskinlever._internal.models.declaration import EnginePool, Model

SLOTS = 10
DECODE_RUNNERS = 2
MAX_TOKENS = 100
DURATION_S = 40.0
# Slots that become free per second when each request holds one for 2 s.
CAPACITY_PER_S = SLOTS * DECODE_RUNNERS / 2.0
FIRST_TOKEN_TARGET_S = 0.71
MODEL = Model(name="lookup", pool="copy", per_token_s=0.03)


def _pool():
    roles = ["prefill"] * 2 + ["decode"] * DECODE_RUNNERS
    runners = [
        {
            "name": f"{role}-{number}",
            "address": "127.0.0.1:1",
            "zone": "hall-a",
            "role": role,
            "slots": SLOTS,
        }
        for number, role in enumerate(roles)
    ]
    return EnginePool.model_validate({"name": "copy", "runners": runners})


def _arrivals(load, seed):
    generator = random.Random(seed)
    at = 0.0
    arrivals = []
    while at < DURATION_S:
        at += generator.expovariate(load * CAPACITY_PER_S)
        prompt_tokens = generator.choice([100, 500, 1500])
        due = at + FIRST_TOKEN_TARGET_S
        arrivals.append(Arrival(len(arrivals), at, prompt_tokens, MAX_TOKENS, due))
    return arrivals


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("load", [0.5, 1.5])
def test_same_answers_and_no_wasted_prefill(load, seed):
    arrivals = _arrivals(load, seed)
    naive, reserving = Engines(_pool()), Engines(_pool())
    serve_naive(naive, arrivals)
    serve_with_scheduler(reserving, arrivals, MODEL)
    answered_by_both = naive.answer_by_number.keys() & reserving.answer_by_number.keys()
    assert len(answered_by_both) > len(arrivals) / 10
    for number in answered_by_both:
        assert naive.answer_by_number[number] == reserving.answer_by_number[number]
    assert reserving.wasted == 0
    if load > 1:
        assert naive.wasted > 0.2 * naive.prefilled
        assert reserving.in_time > naive.in_time
