"""Cuts hosts of a `platform_world` off from runners, which others still reach."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import replace
from enum import Enum
from unittest.mock import patch

from lib.platform_world import World
from siskinlever._internal.network import connection
from siskinlever._internal.network.sockets import split_address

# Connections that fill the queue of a socket that listens with a backlog of 0.
QUEUE_LENGTH = 4


class CutAddress(str):
    """The address of a runner that the host which connects to it can't reach."""

    dead = ""


def connected_address(address: str) -> tuple[str, int]:
    """Return the host and port at which to connect, as `split_address`."""
    is_cut = isinstance(address, CutAddress)
    return split_address(address.dead if is_cut else address)


class Cut(Enum):
    """What becomes of a new connection to a runner."""

    REFUSED = "refused"
    # No answer, as behind a partition.
    SILENT = "silent"


@contextmanager
def cut_off(
    world: World, hosts: list[int], cut: Cut, runners: str = ""
) -> Iterator[None]:
    """Keep hosts from the runners whose names begin with a text, within the block."""
    with ExitStack() as stack:
        address = stack.enter_context(dead_address(cut))
        known = [
            runner
            for number in hosts
            for key, runner in world.hosts[number].context.runners.by_key.items()
            if key.name.startswith(runners)
        ]
        reached = [runner.registration.address for runner in known]
        for runner in known:
            cut_address = CutAddress(runner.registration.address)
            cut_address.dead = address
            runner.registration = replace(runner.registration, address=cut_address)
        stack.enter_context(
            patch.object(connection, "split_address", connected_address)
        )
        yield
        for runner, before in zip(known, reached, strict=True):
            runner.registration = replace(runner.registration, address=before)


@contextmanager
def dead_address(cut: Cut) -> Iterator[str]:
    """Yield an address at which connections fail."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    host, port = listener.getsockname()
    callers = []
    if cut is Cut.SILENT:
        listener.listen(0)
        for _ in range(QUEUE_LENGTH):
            caller = socket.socket()
            caller.setblocking(False)
            caller.connect_ex((host, port))
            callers.append(caller)
    try:
        yield f"{host}:{port}"
    finally:
        for opened in (listener, *callers):
            opened.close()
