"""Decoding of the load that runners report in their answers.

A header with a figure that this version didn't know was dropped whole, so that requests
of plain services were placed without any report.
"""

from __future__ import annotations

import pytest

from siskinlever._internal.models.upstreams import LoadReport
from siskinlever._internal.network.http1_client import AnswerHead
from siskinlever._internal.platform import wire

THREE = LoadReport(3, 1, 8)


def parse(value: str | None) -> LoadReport | None:
    headers = [] if value is None else [(b"Instance-Load", value.encode())]
    return wire.parse_load(AnswerHead(200, headers))


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (None, None),
        ("", None),
        ("3", None),
        ("3,1", None),
        ("3,1,8", THREE),
        (" 3 , 1 ,\t8 ", THREE),
        ("3,1,8,100", LoadReport(3, 1, 8, 1.0)),
        ("3,1,8,250.5", LoadReport(3, 1, 8, 2.505)),
        ("3,1,8, 40 ,x", LoadReport(3, 1, 8, 0.4)),
        ("3,1,8,100,7,9", LoadReport(3, 1, 8, 1.0)),
        ("3,1,8,", THREE),
        ("3,1,8,fast", THREE),
        ("3,1,8,0", THREE),
        ("3,1,8,-100", THREE),
        ("3,1,8,nan", THREE),
        ("3,1,8,inf", THREE),
        ("3,1,8,1e999", THREE),
        ("-3,1,8", None),
        ("+3,1,8", None),
        ("3.5,1,8", None),
        ("3,1_0,8", None),
        ("3,,8", None),
        (f"{'9' * 5000},1,8", None),
        ("999999999,1,8", LoadReport(999_999_999, 1, 8)),
    ],
)
def test_load_header(value, expected):
    assert parse(value) == expected
