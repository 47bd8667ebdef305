"""Whatever an entry of the runners holds, it is refused or can be used everywhere.

An entry that is decoded is compared, logged, sent to other hosts and sent to the runner
itself in a header.
"""

from __future__ import annotations

import json

from hypothesis import given
from hypothesis import strategies as st

from siskinlever._internal.exceptions import InvalidRecordError
from siskinlever._internal.fleet.messages import to_leaving
from siskinlever._internal.fleet.runners import KnownRunner, RunnerState
from siskinlever._internal.fleet.version_history import decode_version_record
from siskinlever._internal.network.sockets import split_address
from siskinlever._internal.platform.records import (
    decode_configuration,
    decode_registration,
)
from siskinlever_testbed.platform_fleet import configuration

NORMAL = {
    "service": "s",
    "address": "127.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "sequence": 1,
    "born": 1,
    "stage": "decode",
}
TEXTS = st.one_of(
    st.text(st.characters(), max_size=20),
    st.sampled_from(["\ud800", "x" * 5_000, "127.0.0.1:65536", "1.2.3.4:-1", ""]),
)
NUMBERS = st.one_of(
    st.integers(),
    st.integers(-(10**40), 10**40),
    st.floats(),
    st.sampled_from([2**63, 2**64, -1, 10**400]),
)
VALUES = st.recursive(
    st.none() | st.booleans() | NUMBERS | TEXTS,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(TEXTS, inner, max_size=3)
    ),
    max_leaves=8,
)
ENTRIES = st.dictionaries(st.sampled_from(list(NORMAL)), VALUES, max_size=3)


def use(key: str, value: bytes) -> None:
    """Do with an entry what hosts do with one that they can decode."""
    registration = decode_registration(key, value)
    runner = KnownRunner(registration, RunnerState.GONE, 0.0)
    to_leaving(runner).SerializeToString()
    f"{registration.service}{registration.zone}{registration.version}".encode()
    assert registration.key.name.isascii() and registration.key.name.isprintable()
    host, port = split_address(registration.address)
    assert host.count(".") == 3 and 0 < port < 65_536
    assert registration.sequence < registration.sequence + registration.slots / 2 + 1


@given(key=TEXTS, changes=ENTRIES)
def test_entry_is_refused_or_can_be_used(key, changes):
    try:
        use(f"servers/{key}", json.dumps(NORMAL | changes).encode())
    except InvalidRecordError as error:
        assert len(error.message) < 500


@given(depth=st.integers(1, 3_000), field=st.sampled_from(list(NORMAL)))
def test_nested_entry_is_refused(depth, field):
    entry = json.dumps(NORMAL | {field: None})
    value = entry.replace("null", "[" * depth + "]" * depth).encode()
    try:
        use("servers/r-1", value)
    except InvalidRecordError as error:
        assert len(error.message) < 500
    else:
        raise AssertionError("a list is no value of any field")


@given(field=st.sampled_from(["era", "change", "versions"]), value=VALUES)
def test_record_of_versions_is_refused_or_can_be_used(field, value):
    document = {"era": 1, "change": 1, "versions": [["s", "v1"]]} | {field: value}
    try:
        decode_version_record(json.dumps(document).encode()).encode()
    except InvalidRecordError:
        return


@given(
    path=st.sampled_from(["version", "routes", "services", "limits", "tenants"]),
    inner=st.sampled_from(["weighted_services", "timeout_ms", "host", "priority"]),
    value=VALUES,
    other=VALUES,
)
def test_configuration_is_refused_or_can_be_used(path, inner, value, other):
    document = configuration()
    document["routes"][0][inner] = other
    document |= {path: value} if path != "routes" else {}
    try:
        decode_configuration(json.dumps(document).encode())
    except InvalidRecordError:
        return
