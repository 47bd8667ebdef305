"""Who calls, and whether a request may be sent now, by key and age of the proof."""

from __future__ import annotations

import math
from dataclasses import replace
from itertools import product

import pytest

from siskinlever._internal.dispatch.authorization import (
    REVOKE_MARGIN_S,
    Confirmation,
    Credential,
    Decision,
    confirmation_at,
    decide,
)
from siskinlever._internal.fleet.configuration import MAX_CONFIRMATION_AGE_S
from siskinlever._internal.fleet.stream_versions import stream_id
from siskinlever._internal.gateway.job import new_job
from siskinlever._internal.gateway.key_checks import logged_age_s
from siskinlever._internal.models.host_settings import KeyBounds
from siskinlever._internal.models.routes import RequestKind, Route, ServiceShare
from siskinlever._internal.models.upstreams import RunnerKey
from siskinlever._internal.models.workspaces import (
    CallerIdentity,
    Workspace,
    key_digest,
)
from siskinlever._internal.network.http1_server import ReceivedRequest
from siskinlever._internal.platform import wire

CLOSED = KeyBounds(fails_closed=True, revoke_s=5.0)
OPEN = KeyBounds(fails_closed=False, revoke_s=5.0)
WORKSPACE = Workspace("w", frozenset({key_digest(b"known")}), None, None)
BY_DIGEST = {key_digest(b"known"): WORKSPACE}
ALLOWED, UNAUTHORIZED = Decision.ALLOWED, Decision.UNAUTHORIZED
UNCERTAIN, TOO_OLD = Decision.KEY_UNCERTAIN, Decision.PROOF_TOO_OLD
AGE_BY_CONFIRMATION = {
    Confirmation.CURRENT: MAX_CONFIRMATION_AGE_S,
    Confirmation.RECENT: CLOSED.revoke_s - REVOKE_MARGIN_S,
    Confirmation.OLD: CLOSED.revoke_s - REVOKE_MARGIN_S + 0.001,
    Confirmation.NONE: math.inf,
}
# In the order of `Confirmation`. A removed key is one that is not known any more.
EXPECTED_BY_KEY = {
    "known": (ALLOWED, ALLOWED, TOO_OLD, TOO_OLD),
    "unknown": (UNAUTHORIZED, UNCERTAIN, UNCERTAIN, UNCERTAIN),
    "removed": (UNAUTHORIZED, UNCERTAIN, UNCERTAIN, UNCERTAIN),
    "": (UNAUTHORIZED, UNCERTAIN, UNCERTAIN, UNCERTAIN),
}
CASES = [
    (key, confirmation, expected)
    for key, row in EXPECTED_BY_KEY.items()
    for confirmation, expected in zip(Confirmation, row, strict=True)
]


def verdict_on(key, confirmation, is_public=False, bounds=CLOSED):
    credential = Credential.of([key.encode()] if key else [])
    age_s = AGE_BY_CONFIRMATION[confirmation]
    return decide(
        credential, is_public, BY_DIGEST, age_s, MAX_CONFIRMATION_AGE_S, bounds
    )


@pytest.mark.parametrize(("key", "confirmation", "expected"), CASES)
def test_decision_on_a_route_that_needs_a_key(key, confirmation, expected):
    verdict = verdict_on(key, confirmation)
    assert verdict.confirmation is confirmation
    assert verdict.decision is expected
    assert verdict.workspace is (WORKSPACE if key == "known" else None)


@pytest.mark.parametrize(("key", "confirmation", "expected"), CASES)
def test_known_keys_stay_valid_where_keys_do_not_fail_closed(
    key, confirmation, expected
):
    decision = verdict_on(key, confirmation, bounds=OPEN).decision
    assert decision is (ALLOWED if key == "known" else expected)


@pytest.mark.parametrize(
    ("key", "confirmation"), list(product(EXPECTED_BY_KEY, Confirmation))
)
def test_public_route_is_served_and_names_the_workspace_of_a_known_key(
    key, confirmation
):
    verdict = verdict_on(key, confirmation, is_public=True)
    assert verdict.decision is ALLOWED
    assert verdict.workspace is (WORKSPACE if key == "known" else None)


def test_proof_that_is_too_old_is_never_current():
    """A bound below the age up to which a configuration counts as current."""
    bounds = KeyBounds(fails_closed=True, revoke_s=1.0)
    found = confirmation_at(1.5, MAX_CONFIRMATION_AGE_S, bounds)
    assert found is Confirmation.OLD


def received(*headers: tuple[bytes, bytes]) -> ReceivedRequest:
    return ReceivedRequest(b"POST", b"/x", tuple(headers), b"")


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ([b"Bearer known"], True),
        ([b"bearer known"], True),
        ([b"BEARER   known "], True),
        ([b"Bearer known", b"Bearer known"], True),
        ([b"", b"Bearer known"], True),
        ([b"Bearer known", b"Bearer other"], False),
        ([b"Bearer known, Bearer known"], False),
        ([b"known"], False),
        ([b"Basic known"], False),
        ([b"Bearer known known"], False),
    ],
)
def test_key_is_read_from_the_authorization_header(values, expected):
    request = received(*((b"aUTHORIZATION", value) for value in values))
    credential = Credential.of(wire.caller_keys(request))
    verdict = decide(credential, False, BY_DIGEST, 0.0, 2.0, CLOSED)
    assert (verdict.decision is ALLOWED) is expected
    assert credential.digests


@pytest.mark.parametrize("values", [[], [b""], [b"Bearer"], [b"Bearer ", b" "]])
def test_empty_authorization_is_no_key(values):
    request = received(*((b"Authorization", value) for value in values))
    assert wire.caller_keys(request) == ()


@pytest.mark.parametrize("key", ["k\u00e9y", "a b", "a,b", '"', "\u00ff=;", "a:b"])
@pytest.mark.parametrize("encoding", ["latin-1", "utf-8"])
def test_keys_may_contain_any_byte_of_a_header(key, encoding):
    by_digest = {key_digest(key.encode()): WORKSPACE}
    request = received((b"Authorization", b"Bearer " + key.encode(encoding)))
    credential = Credential.of(wire.caller_keys(request))
    assert decide(credential, False, by_digest, 0.0, 2.0, CLOSED).workspace is WORKSPACE


FORGED = [
    (b"Tenant", b"forged"),
    (b"TENANT", b"forged"),
    (b"tenant", b""),
    (b"Authorization", b"Bearer known"),
    (b"authorization", b""),
    (b"Proxy-Authorization", b"Bearer known"),
    (b"Connection", b"close"),
    (b"Attempt-Id", b"a"),
    (b"X-Own", b"kept"),
]


@pytest.mark.parametrize("listed", [b"X", b"Tenant, authorization, Attempt-Id"])
@pytest.mark.parametrize("name", ["w", None])
def test_runner_gets_the_workspace_and_never_the_key(name, listed):
    options = wire.SendOptions(RunnerKey("r", 1), 1.0, identity=CallerIdentity(name))
    call = wire.runner_call(received(*FORGED, (b"Connection", listed)), options)
    names = [header.lower() for header, _ in call.headers]
    found = [value for header, value in call.headers if header.lower() == b"tenant"]
    assert found == ([b"w"] if name else [])
    assert not any(b"known" in value for _, value in call.headers)
    assert b"x-own" in names and b"attempt-id" in names
    connection = [v for h, v in call.headers if h.lower() == b"connection"]
    assert connection == [b"close"]


def test_without_workspaces_all_headers_pass_as_before():
    headers = [(b"Tenant", b"x"), (b"Authorization", b"Bearer k"), (b"X", b"y")]
    call = wire.runner_call(
        received(*headers), wire.SendOptions(RunnerKey("r", 1), 1.0)
    )
    assert list(call.headers)[:3] == headers


def test_streams_and_priority_of_a_request_are_those_of_its_workspace():
    """A workspace must not resume the streams of another one."""
    route = Route(
        name="r",
        host="h",
        prefix="/",
        kind=RequestKind.STREAM,
        timeout_s=1.0,
        target_latency_s=1.0,
        target_gap_s=0.0,
        priority=4,
        shares=(ServiceShare("s", 1),),
        max_attempts=1,
        resumable=True,
    )
    request = received((b"Prompt-Prefix", b"shared:5,own:5"))
    jobs = [new_job(request, route) for _ in range(4)]
    jobs[1].workspace = replace(WORKSPACE, priority=0)
    jobs[2].workspace = replace(WORKSPACE, name="v", priority=9)
    jobs[3].workspace = WORKSPACE
    assert [job.priority for job in jobs] == [4, 0, 9, 4]
    names = [job.workspace.name if job.workspace else None for job in jobs]
    assert len({stream_id("a", name) for name in names[:3]}) == 3
    assert stream_id("a", names[3]) == stream_id("a", names[1])
    # Evidence on what crashes runners counts for all of them.
    assert len({job.part_traits for job in jobs}) == 1


@pytest.mark.parametrize("limit_s", [2.25, 4.75])
def test_age_just_over_a_limit_is_not_logged_as_equal_to_it(limit_s):
    over_s = limit_s + 0.0004
    assert round(over_s, 3) == limit_s
    assert limit_s < logged_age_s(over_s) <= over_s + 0.001
    assert logged_age_s(math.inf) < math.inf
