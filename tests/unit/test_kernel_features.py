"""The check of processes for forbidden kernel features finds each of them."""

from __future__ import annotations

import subprocess
import sys

import pytest
from lib.kernel_features import forbidden_uses

HOLD = "\nprint(flush=True)\nimport sys; sys.stdin.read()"
MAPPED_SHM = """
import mmap, tempfile
f = tempfile.TemporaryFile(dir="/dev/shm"); f.truncate(4096)
m = mmap.mmap(f.fileno(), 4096); f.close()"""
SYSV = """
import ctypes
libc = ctypes.CDLL(None); libc.shmat.restype = ctypes.c_void_p
i = libc.shmget(0, 4096, 0o1600); libc.shmat(i, None, 0); libc.shmctl(i, 0, None)"""
CHILD = """
import subprocess, sys
c = subprocess.Popen([sys.executable, "-c", "input()"], stdin=subprocess.PIPE)"""
USE_BY_FEATURE = {
    "memfd": "import os; fd = os.memfd_create('x')",
    "/dev/shm": "import tempfile; f = tempfile.TemporaryFile(dir='/dev/shm')",
    "/dev/shm mapping": MAPPED_SHM,
    "SYSV": SYSV,
    "child": CHILD,
    "io_uring": "import ctypes; fd = ctypes.CDLL(None).syscall(425, 4, b'\\0' * 120)",
    "nothing": "",
}


@pytest.mark.parametrize("feature", USE_BY_FEATURE)
def test_each_forbidden_feature_is_found(feature):
    process = subprocess.Popen(
        [sys.executable, "-c", USE_BY_FEATURE[feature] + HOLD],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        process.stdout.readline()
        found = forbidden_uses(process.pid)
    finally:
        process.communicate()
    if feature == "nothing":
        assert found == []
    else:
        assert any(feature.split()[0] in use for use in found)


def test_descriptor_that_closes_meanwhile_is_left_out(monkeypatch):
    def closed(path):
        raise FileNotFoundError(path)

    monkeypatch.setattr("os.readlink", closed)
    process = subprocess.Popen([sys.executable, "-c", "input()"], stdin=subprocess.PIPE)
    try:
        assert forbidden_uses(process.pid) == []
    finally:
        process.communicate(b"\n")
