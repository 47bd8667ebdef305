"""Values that decode and must not spoil what uses them."""

from __future__ import annotations

import json
import math

import pytest
from lib.following_hosts import following_fleet
from lib.platform_records import report
from lib.platform_world import configuration

from siskinlever._internal.exceptions import InvalidRecordError
from siskinlever._internal.fleet import store_follower
from siskinlever._internal.fleet.document_compression import (
    DocumentCompression,
    decompressed,
)
from siskinlever._internal.fleet.messages import from_state
from siskinlever._internal.fleet.version_history import decode_version_record
from siskinlever._internal.models.upstreams import Stage
from siskinlever._internal.network.http1_client import AnswerHead
from siskinlever._internal.peers import peer_pb2
from siskinlever._internal.platform.fields import MAX_QUANTITY, required_number
from siskinlever._internal.platform.records import decode_configuration, decode_report
from siskinlever._internal.platform.store import MetadataStore


def test_stage_of_a_newer_version_is_left_out():
    def switch(name: str, stage: str) -> peer_pb2.FleetSwitch:
        return peer_pb2.FleetSwitch(
            runner=peer_pb2.FleetRunner(runner=name), remaining_ms=100, stage=stage
        )

    state = peer_pb2.FleetState(switches=[switch("a", "encode"), switch("b", "decode")])
    work = from_state(state)
    found = {key.name: s.stage for key, s in work.switch_by_runner.items()}
    assert found == {"b": Stage.DECODE}


@pytest.mark.parametrize("value", [1e300, 10**200, MAX_QUANTITY * 2])
def test_quantity_beyond_all_deployments_counts_as_the_largest(value):
    assert required_number({"slots": value}, "slots") == MAX_QUANTITY


@pytest.mark.parametrize("weights", [[0], [0, 0]])
def test_route_whose_services_all_have_weight_0_is_rejected(weights):
    document = configuration(4)
    document["routes"][0]["weighted_services"] = [
        {"service": "plain", "weight": weight} for weight in weights
    ]
    with pytest.raises(InvalidRecordError, match="weight"):
        decode_configuration(json.dumps(document).encode())


@pytest.mark.parametrize("remaining_s", [math.inf, math.nan, -1.0, 1e9])
def test_record_of_a_version_that_counts_for_too_long_is_invalid(remaining_s):
    document = {"era": 1, "change": 1, "versions": [["s", "v", 1, remaining_s]]}
    with pytest.raises(InvalidRecordError):
        decode_version_record(json.dumps(document).encode())


@pytest.mark.parametrize("sequence", [-1, 2**63, 10**30])
def test_report_whose_sequence_cannot_be_sent_on_is_invalid(sequence):
    with pytest.raises(InvalidRecordError, match="sequence"):
        decode_report(json.dumps(report() | {"sequence": sequence}).encode())


@pytest.mark.parametrize("era", [b"9" * 5_000, b"-1", b"1e3", "٣".encode()])
def test_era_that_is_no_number_changes_nothing(era):
    store = MetadataStore("127.0.0.1:1")
    store._note_era(AnswerHead(200, ((b"Store-Era", b"7"),)))
    store._note_era(AnswerHead(200, ((b"Store-Era", era),)))
    assert store.era == 7


def test_what_was_logged_of_odd_entries_is_kept_for_few(monkeypatch):
    monkeypatch.setattr(store_follower, "MAX_UNDECODABLE", 10)
    with following_fleet(0, 1) as fleet:
        for number in range(100):
            fleet.store.put(f"servers/odd-{number}", b"[]")
        fleet.loop.advance_time(5.0)
        assert len(fleet.hosts[0].follower._undecodable_by_key) <= 10


@pytest.mark.parametrize(
    "data", [b"no zlib", DocumentCompression().compressed(b"x")[:3]]
)
def test_document_that_cannot_be_decompressed_is_invalid(data):
    with pytest.raises(InvalidRecordError, match="zlib"):
        decompressed(data)
