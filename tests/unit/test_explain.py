"""Tests of the `explain` command, which selects the log lines of a request."""

from __future__ import annotations

import json

import pytest

from siskinlever._internal.cli.main import main

LINES = [
    {"time": 9.0, "host": "b", "event": "runner.state", "runner": "r-1"},
    {"time": 10.2, "host": "a", "event": "runner.state", "runner": "r-2"},
    {"time": 10.5, "host": "a", "event": "request.resent", "request": "q-1"},
    {"time": 10.6, "host": "a", "event": "request.ended", "request": "q-2"},
    {
        "time": 10.9,
        "host": "a",
        "event": "request.ended",
        "request": "q-1",
        "outcome": "timeout",
        "taken_s": 0.6,
    },
    {"time": 11.5, "host": "a", "event": "store.lost", "reason": "later"},
]


@pytest.fixture
def log_paths(tmp_path):
    paths = [tmp_path / "one", tmp_path / "two"]
    for path, lines in zip(paths, (LINES[::2], LINES[1::2]), strict=True):
        text = [f"   7.1 host-a {json.dumps(line)}" for line in lines]
        path.write_text("\n".join([*text, "no object", '{"time": broken']))
    return [str(path) for path in paths]


def test_request_is_shown_with_state_events_of_its_host(log_paths, capsys):
    assert main(["explain", "q-1", *log_paths]) == 0
    shown = capsys.readouterr().out.splitlines()
    assert [line.split(" ", 3)[2] for line in shown] == [
        "runner.state",
        "request.resent",
        "request.ended",
    ]
    assert shown[0].endswith("runner=r-2") and "outcome=timeout" in shown[-1]


def test_unknown_request_is_an_error(log_paths, capsys):
    assert main(["explain", "q-9", *log_paths]) == 2
    assert "q-9" in capsys.readouterr().err


def test_missing_log_is_named(capsys):
    assert main(["explain", "q-9", "/nowhere/log"]) == 2
    assert "/nowhere/log" in capsys.readouterr().err
