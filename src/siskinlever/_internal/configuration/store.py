"""Keeps the declaration in the key-value service.

The root record names the generation, the apply and the parts; parts are
immutable and named by their content, since a value is at most a megabyte.
"""

from __future__ import annotations

import asyncio
from typing import Annotated

from pydantic import Field

from ..exceptions import (
    ConflictError,
    DeclarationError,
    PlatformError,
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from ..models.declaration import Declaration, Strict
from ..models.ids import ApplyId, Generation
from ..platform.key_value import MUST_NOT_EXIST, KeyValueClient, Record
from ..utils.digests import content_digest
from ..utils.validation import parse_json
from .current import Configuration

PART_BYTES = 512_000
READ_BACK_TRIES = 5
READ_BACK_PAUSE_S = 0.3


class Root(Strict):
    """The root record."""

    generation: Annotated[int, Field(ge=1)]
    apply_id: str
    parts: tuple[str, ...] = Field(strict=False)


class ConfigurationStore:
    """Reads and writes the declaration.

    Parameters
    ----------
    key_value : KeyValueClient
    prefix : str
        Prefix of all keys.
    """

    def __init__(self, key_value: KeyValueClient, prefix: str) -> None:
        self._key_value = key_value
        self.root_key = f"{prefix}/configuration/root"
        self._part_prefix = f"{prefix}/configuration/parts"

    async def read(self) -> Configuration | None:
        """Read the declaration in force; raises `PlatformError`."""
        record = await self._key_value.get(self.root_key)
        return await self.load(record) if record else None

    async def watch(self, after_version: int, wait_s: float) -> Configuration | None:
        """Wait for a root record newer than a version, at most ``wait_s``."""
        record = await self._key_value.watch(self.root_key, after_version, wait_s)
        if record is None or record.version == after_version:
            return None
        return await self.load(record)

    async def load(self, record: Record) -> Configuration:
        """Read the parts that a root record names."""
        root, faults = parse_json(Root, record.value)
        if root is None:
            raise StoreUnavailableError(f"the root record is damaged: {faults}")
        parts = [await self._read_part(digest) for digest in root.parts]
        content = b"".join(parts)
        declaration, faults = parse_json(Declaration, content)
        if declaration is None:
            raise DeclarationError(faults)
        return Configuration(
            Generation(root.generation),
            ApplyId(root.apply_id),
            declaration,
            content,
            record.version,
        )

    async def write(
        self, content: bytes, apply_id: ApplyId, base_generation: Generation | None
    ) -> Generation:
        """Make a declaration the one in force.

        Parameters
        ----------
        content : bytes
            A checked declaration.
        apply_id : str
            Names this apply; a repeated call with it is the same apply.
        base_generation : int or None
            The generation that the operator saw, or None for any.

        Returns
        -------
        generation : int

        Raises
        ------
        ConflictError
            Another apply came first.
        StoreUnavailableError
            Nothing took effect.
        StoreOutcomeUnknownError
            It could not be learnt whether the apply took effect.
        """
        record = await self._key_value.get(self.root_key)
        root = self._root(record)
        if root is not None and root.apply_id == apply_id:
            return Generation(root.generation)
        found = root.generation if root else 0
        if base_generation is not None and base_generation != found:
            raise ConflictError(
                f"generation {found} is in force, not {base_generation}",
                "look at what changed with `siskinlever plan` and apply again",
            )
        parts = await self._write_parts(content)
        new = Root(generation=found + 1, apply_id=apply_id, parts=parts)
        version = record.version if record else MUST_NOT_EXIST
        await self._write_root(new, version)
        return Generation(new.generation)

    async def _write_root(self, new: Root, version: int) -> None:
        value = new.model_dump_json().encode()
        try:
            await self._key_value.put(self.root_key, value, version)
        except StoreConflictError as error:
            await self._check_own_write(new, error)
        except StoreOutcomeUnknownError as error:
            await self._check_own_write(new, error)

    async def _check_own_write(self, new: Root, cause: PlatformError) -> None:
        """Read back whose write took effect; the answer to ours was lost."""
        for _ in range(READ_BACK_TRIES):
            try:
                root = self._root(await self._key_value.get(self.root_key))
            except StoreUnavailableError:
                await asyncio.sleep(READ_BACK_PAUSE_S)
                continue
            if root is not None and root.apply_id == new.apply_id:
                return
            if root is not None and root.generation >= new.generation:
                raise ConflictError(
                    f"apply {root.apply_id} came first as generation {root.generation}",
                    "look at what changed with `siskinlever plan` and apply again",
                ) from cause
            # The lost write may still arrive: only a conflict makes it certain.
            await asyncio.sleep(READ_BACK_PAUSE_S)
        raise StoreOutcomeUnknownError(
            f"it is not known whether apply {new.apply_id} took effect"
        ) from cause

    async def _write_parts(self, content: bytes) -> tuple[str, ...]:
        digests = []
        for start in range(0, len(content), PART_BYTES):
            part = content[start : start + PART_BYTES]
            digest = content_digest(part)
            digests.append(digest)
            try:
                await self._key_value.put(
                    f"{self._part_prefix}/{digest}", part, MUST_NOT_EXIST
                )
            except StoreConflictError:
                continue  # A part of the same content is there already.
            except StoreOutcomeUnknownError as error:
                # Nothing is in force before the root names the part.
                raise StoreUnavailableError(error.message) from error
        return tuple(digests)

    async def _read_part(self, digest: str) -> bytes:
        record = await self._key_value.get(f"{self._part_prefix}/{digest}")
        if record is None or content_digest(record.value) != digest:
            raise StoreUnavailableError(f"part {digest} is missing or damaged")
        return record.value

    def _root(self, record: Record | None) -> Root | None:
        if record is None:
            return None
        root, faults = parse_json(Root, record.value)
        if root is None:
            raise StoreUnavailableError(f"the root record is damaged: {faults}")
        return root
