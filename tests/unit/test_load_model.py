"""Loads played on the model of the engines: what callers get of the decisions."""

from __future__ import annotations

from statistics import mean

import pytest

from siskinlever_testbed.model.deployments import DEPLOYMENT_BY_NAME
from siskinlever_testbed.model.experiment import play
from siskinlever_testbed.model.policies import POLICY_BY_NAME

SEEDS = (1, 2)


def worth(name: str, policy: str, load: float) -> float:
    deployment = DEPLOYMENT_BY_NAME[name]
    return mean(
        play(deployment, POLICY_BY_NAME[policy], seed, load).worth for seed in SEEDS
    )


@pytest.mark.parametrize("name", DEPLOYMENT_BY_NAME)
def test_callers_get_more_if_hosts_tell_their_work_at_once(name):
    assert worth(name, "told-at-once", 1.0) > worth(name, "told-each-second", 1.0)


def test_run_repeats():
    deployment = DEPLOYMENT_BY_NAME["brosur-kl"]
    policy = POLICY_BY_NAME["told-at-once"]
    assert play(deployment, policy, 3, 0.5) == play(deployment, policy, 3, 0.5)
