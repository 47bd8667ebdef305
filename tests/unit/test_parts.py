"""Storage of a declaration in parts.

A small change of a large declaration must write and read only a few parts.
"""

from __future__ import annotations

import pytest

from siskinlever._internal.configuration.parts import split
from siskinlever._internal.configuration.store import ConfigurationStore
from siskinlever._internal.coordination.key_value import Record
from siskinlever._internal.exceptions import ConflictError, StoreConflictError
from siskinlever._internal.models.declaration import Declaration
from siskinlever._internal.utils.digests import key_digest

WORKSPACES = 3700
ROOT_BYTES = 10_000


class KeyValue:
    """An in-memory key-value service that records the size of each call."""

    def __init__(self):
        self.record_by_key = {}
        self.index = 0
        self.read = []
        self.written = []

    async def get(self, key):
        record = self.record_by_key.get(key)
        self.read.append((key, len(record.value) if record else 0))
        return record

    async def put(self, key, value, expected_version):
        known = self.record_by_key.get(key)
        if (known.version if known else 0) != expected_version:
            raise StoreConflictError(key)
        self.index += 1
        self.record_by_key[key] = Record(key, value, self.index)
        self.written.append((key, len(value)))

    async def delete(self, key, expected_version):
        del self.record_by_key[key]


def declaration(count, burst=20):
    workspaces = [
        {"name": f"w-{i}", "key_digests": [key_digest(str(i))], "limits": {"burst": 9}}
        for i in range(count)
    ]
    workspaces[count // 2]["limits"]["burst"] = burst
    document = {"version": 1, "workspaces": workspaces}
    return Declaration.model_validate(document).model_dump_json().encode()


def test_joined_parts_are_the_content_and_none_is_too_large():
    for content in (b"", b"x" * 1_200_000, declaration(WORKSPACES)):
        parts = split(content)
        assert b"".join(parts) == content
        assert all(len(part) <= 500_000 for part in parts)


async def test_small_change_transfers_few_bytes_and_deletes_unused_parts():
    key_value = KeyValue()
    writer = ConfigurationStore(key_value, "p")
    reader = ConfigurationStore(key_value, "p")
    await writer.write(declaration(WORKSPACES), "a", None)
    whole = (await reader.read()).content
    for number, changed in enumerate(
        (declaration(WORKSPACES, burst=21), declaration(WORKSPACES + 1, burst=21))
    ):
        key_value.read.clear()
        key_value.written.clear()
        await writer.write(changed, f"b{number}", None)
        written = sum(size for _, size in key_value.written)
        key_value.read.clear()
        assert (await reader.read()).content == changed
        read = sum(size for _, size in key_value.read)
        assert max(written, read) < len(whole) / 10
    parts = [key for key in key_value.record_by_key if "/parts/" in key]
    assert len(parts) == len(split(changed))
    assert len(key_value.record_by_key["p/configuration/root"].value) < ROOT_BYTES


async def test_rejected_apply_keeps_the_parts_of_the_accepted_one():
    key_value = KeyValue()
    store = ConfigurationStore(key_value, "p")
    await store.write(declaration(900), "a", None)
    put = key_value.put

    async def racing_put(key, value, expected_version):
        if key.endswith("/root"):
            key_value.put = put
            await ConfigurationStore(key_value, "p").write(declaration(901), "c", None)
        await put(key, value, expected_version)

    key_value.put = racing_put
    with pytest.raises(ConflictError):
        await store.write(declaration(902), "b", None)
    found = await ConfigurationStore(key_value, "p").read()
    assert found.apply_id == "c"
    assert not [key for key in key_value.record_by_key if "/b-" in key]
