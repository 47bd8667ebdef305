"""Tests that all faults of declarations and settings are reported at once."""

from __future__ import annotations

import json

import pytest

from siskinlever._internal.models.declaration import Declaration
from siskinlever._internal.models.settings import Settings
from siskinlever._internal.utils.digests import key_digest
from siskinlever._internal.utils.validation import parse_document

RUNNER = {"name": "r1", "address": "10.0.0.1:80", "zone": "hall-a", "role": "decode"}
SETTINGS = {
    "host": "host-1",
    "zone": "hall-a",
    "callers": {"address": "10.0.0.1:8000"},
    "operators": {"address": "10.0.0.1:8100", "key_digests": [key_digest("k")]},
    "peers": {"address": "10.0.0.1:8200", "key": "k" * 16},
    "platform": {
        "key_value": "http://10.0.0.9:80",
        "host_list": "http://10.0.0.9:81/h",
    },
}


def faults_of(model, document):
    content = document if isinstance(document, bytes) else json.dumps(document).encode()
    return parse_document(model, content)[1]


def test_all_faults_are_reported_with_path_value_and_allowed_values():
    document = {
        "version": 1,
        "engine_pools": [
            {"name": "p", "runners": [RUNNER | {"role": "encode", "zome": "x"}]},
            {"name": "p", "runners": [RUNNER | {"address": "10.0.0.256:80"}]},
        ],
        "models": [{"name": "m", "pool": "q", "first_token_s": "700ms", "worth": 0}],
        "workspaces": [{"name": "Ä", "key_digests": ["secret"], "models": ["n"]}],
    }
    shown = "\n".join(faults_of(Declaration, document))
    for line in (
        "$.engine_pools[0].runners[0].role: found 'encode', allowed: 'prefill' or "
        "'decode'",
        "$.engine_pools[0].runners[0].zome: unknown field, did you mean 'zone'?",
        "$.engine_pools[1].runners[0].address: found '10.0.0.256:80', allowed: an IP",
        "$.engine_pools[1].name: duplicate name 'p'",
        "$.engine_pools[1].runners[0].name: duplicate runner 'r1'",
        "$.models[0].first_token_s: found '700ms', allowed: a number of seconds",
        "$.models[0].worth: found 0, allowed: more than 0",
        "$.models[0].pool: found 'q', allowed: p",
        "$.workspaces[0].name: found 'Ä', allowed: 1 to 63 lower-case letters",
        "$.workspaces[0].key_digests[0]: found 'secret', allowed: sha256:",
        "$.workspaces[0].models[0]: found 'n', allowed: m",
    ):
        assert line in shown


@pytest.mark.parametrize(
    ("content", "fault"),
    [
        (b"\xff{}", "$: not UTF-8, found byte 0xff at 0"),
        (b'{"version": 1,}', "$: not JSON, "),
        (b'{"version": 1, "version": 1}', "$: duplicate key 'version' in an object"),
        (b"[" * 100_000, "$: nested too deeply"),
        (b"[]", "$: found [], allowed: an object"),
        (b'{"version": 2}', "$.version: found 2, allowed: 1"),
    ],
)
def test_invalid_documents(content, fault):
    assert fault in "\n".join(faults_of(Declaration, content))


@pytest.mark.parametrize(
    "address", ["10.0.0.1:0", "10.0.0.1:65536", "300.0.0.1:80", "host:80", "10.0.0.1"]
)
def test_addresses_must_be_ip_and_port(address):
    wrong = SETTINGS | {"callers": {"address": address}}
    (fault,) = faults_of(Settings, wrong)
    assert fault.startswith(f"$.callers.address: found {address!r}, allowed: an IP")
    assert faults_of(Settings, SETTINGS) == []
