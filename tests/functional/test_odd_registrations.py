"""Entries that another writer leaves among those of the runners.

One of them must spoil nothing but itself: hosts go on reading the list, talking to each
other and serving.
"""

from __future__ import annotations

import asyncio
import json
import logging

import pytest
from lib.platform_world import PLAIN, configuration, platform_world, until

NORMAL = {
    "service": PLAIN,
    "address": "127.0.0.1:9",
    "zone": "zone-a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "sequence": 1,
}
DEPTHS = (200, 900, 940, 960, 980, 990, 1_200, 100_000)


def nested(depth: int, field: str) -> bytes:
    """Return an entry with a field of nested lists."""
    entry = json.dumps(NORMAL | {field: None})
    return entry.replace("null", "[" * depth + "]" * depth).encode()


def odd(**changes) -> bytes:
    """Return an entry with changed fields."""
    return json.dumps(NORMAL | changes).encode()


ENTRIES = {
    "port too large": odd(address="127.0.0.1:99999"),
    "port 0": odd(address="127.0.0.1:0"),
    "no IP address": odd(address="999.0.0.1:80"),
    "digits of another script": odd(address="127.0.0.1:٩٩"),
    "huge sequence": odd(sequence=10**30),
    "sequence beyond 64 bits": odd(sequence=2**64),
    "negative sequence": odd(sequence=-1),
    "sequence beyond JSON": odd().replace(b'"sequence": 1', b'"sequence": 1e999'),
    "sequence of 5,000 digits": odd(sequence=0).replace(
        b'"sequence": 0', b'"sequence": ' + b"9" * 5_000
    ),
    "huge start": odd(born=10**30),
    "negative start": odd(born=-1),
    "huge slots": odd(slots=10**400),
    "slots of a large float": odd(slots=1.7e308),
    "no slots": odd(slots=0),
    "lone surrogate in its service": odd(service="\ud800"),
    "lone surrogate in its zone": odd(zone="\ud800"),
    "lone surrogate in its version": odd(version="\ud800", stage="decode"),
    "long version": odd(version="v" * 100_000),
    "stage as a list": odd(stage=["decode"]),
    "state as a list": odd(state=["ready"]),
    **{f"{d} levels in an unknown field": nested(d, "x") for d in DEPTHS},
    **{f"{d} levels in the stage": nested(d, "stage") for d in DEPTHS},
    **{f"{d} levels in the zone": nested(d, "zone") for d in DEPTHS},
}
ODD_KEYS = {
    "line end": "servers/a\r\nKv-Hold: 1",
    "space": "servers/a b",
    "beyond ASCII": "servers/läufer",
    "empty": "servers/",
    "lone surrogate": "servers/\ud800",
}
CASES = [(f"servers/{name}", value) for name, value in ENTRIES.items()]
CASES += [(key, odd(address="127.0.0.1:9")) for key in ODD_KEYS.values()]


@pytest.fixture
def log_path(tmp_path) -> str:
    return str(tmp_path / "log")


@pytest.mark.parametrize(("key", "value"), CASES, ids=[*ENTRIES, *ODD_KEYS])
async def test_odd_entry_keeps_hosts_from_nothing(log_path, caplog, key, value):
    with caplog.at_level(logging.ERROR):
        async with platform_world(log_path, hosts=2) as world:
            key = key if key in ODD_KEYS.values() else "servers/odd"
            world.store.put(key, value)
            await asyncio.sleep(1.0)
            answers = [
                await world.send("/safe/x", identifier=f"odd-{n}", host=n % 2)
                for n in range(12)
            ]
            # Its end is told to the other host, like that of any entry.
            world.store.remove(key)
            leaving = world.runner_named("p-1")
            leaving.draining = True
            world.register_all()
            world.apply(configuration(7))
            await until(
                lambda: all(h.context.configuration.version == 7 for h in world.hosts),
                2.0,
            )
            await until(
                lambda: all(
                    {r.key.name for r in h.context.runners.usable(PLAIN)} == {"p-2"}
                    for h in world.hosts
                ),
                2.0,
            )
            await asyncio.sleep(3.0)
            assert [len(h.context.hosts.alive()) for h in world.hosts] == [1, 1]
    assert {answer.status for answer in answers} == {200}
    assert [r.getMessage() for r in caplog.records if "fail" in r.getMessage()] == []
