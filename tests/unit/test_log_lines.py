"""The log has a bounded rate and memory use, and never blocks."""

from __future__ import annotations

import json
import os

import pytest

from siskinlever._internal.logs import lines as log_module
from siskinlever._internal.logs.lines import LogLines
from siskinlever._internal.metrics.registry import Metrics


@pytest.fixture
def pipe():
    read_end, write_end = os.pipe()
    yield read_end, write_end
    os.close(read_end)
    os.close(write_end)


def read_lines(descriptor: int) -> list[dict]:
    return [json.loads(line) for line in os.read(descriptor, 1 << 20).splitlines()]


def test_line_is_one_json_object(pipe):
    log = LogLines("host-1", Metrics(), pipe[1])
    log.write("request.ended", "r-1", outcome="answered", detail='a "quote"\n')
    log.flush()
    (line,) = read_lines(pipe[0])
    assert line["host"] == "host-1" and line["request"] == "r-1"
    assert line["detail"] == 'a "quote"\n'


def test_rate_of_one_event_is_limited(pipe):
    metrics, now = Metrics(), [0.0]
    log = LogLines("host-1", metrics, pipe[1], lambda: now[0])
    seconds, written = 20, 0
    for _ in range(seconds):
        for _ in range(1000):
            log.write("request.ended", "r")
        log.write("store.lost", reason="other events are not held back")
        now[0] += 1.0
        log.flush()
        found = read_lines(pipe[0])
        written += sum(line["event"] == "request.ended" for line in found)
        assert any(line["event"] == "store.lost" for line in found)
    assert written <= log_module.BURST_LINES + seconds * log_module.LINES_PER_S
    dropped = metrics.value("log_lines_dropped", event="request.ended")
    assert dropped == seconds * 1000 - written


def test_stalled_reader_does_not_block_and_memory_is_bounded(pipe):
    metrics, now = Metrics(), [0.0]
    log = LogLines("host-1", metrics, pipe[1], lambda: now[0])
    for _ in range(3 * log_module.MAX_QUEUED_LINES):
        now[0] += 1.0
        log.write("request.ended", "r", detail="x" * 100)
        log.flush()
    assert len(log._queue) <= log_module.MAX_QUEUED_LINES
    assert metrics.value("log_lines_dropped", event="request.ended") > 0


def test_write_to_a_closed_pipe_is_counted(pipe):
    read_end, write_end = os.pipe()
    os.close(read_end)
    metrics = Metrics()
    log = LogLines("host-1", metrics, write_end)
    log.write("request.ended", "r")
    log.flush()
    os.close(write_end)
    assert metrics.value("log_writes_failed") == 1
