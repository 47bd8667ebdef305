"""Stores the declaration in the key-value service.

The root record lists the latest applies with their generations, and the parts of
the one in force. Parts are immutable. A new declaration reuses the parts that did
not change, and hosts read only the parts that they have not cached.
"""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import TypeVar

from ..coordination.key_value import MUST_NOT_EXIST, KeyValueClient, Record
from ..exceptions import (
    ConflictError,
    DeclarationError,
    PlatformError,
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from ..models.declaration import Declaration
from ..models.events import Stamp
from ..models.ids import ApplyId, Generation
from ..utils.validation import parse_json
from .current import Configuration
from .parts import digest_from_name, part_name, short_digest, split
from .root import AcceptedApply, Root, dropped_parts, next_root, parse_root

T = TypeVar("T")

CONCURRENT_CALLS = 8
READ_BACK_TRIES = 5
READ_BACK_PAUSE_S = 0.3
CONFLICT_HINT = "look at what changed with `siskinlever plan` and apply again"


class ConfigurationStore:
    """Reads and writes the stored declaration.

    Parameters
    ----------
    key_value : KeyValueClient
        Must not reuse connections, because a pooled connection may have stopped
        responding.
    prefix : str
        Prefix of all keys.
    """

    def __init__(self, key_value: KeyValueClient, prefix: str) -> None:
        self._key_value = key_value
        self.root_key = f"{prefix}/configuration/root"
        self._part_prefix = f"{prefix}/configuration/parts"
        self._part_by_name: dict[str, bytes] = {}

    async def read(self) -> Configuration | None:
        """Read the declaration in force.

        Returns
        -------
        configuration : Configuration or None
            None if no declaration was ever applied.

        Raises
        ------
        PlatformError
            If the key-value service cannot be read.
        DeclarationError
            If the stored declaration is not valid.
        """
        record = await self._key_value.get(self.root_key)
        return await self.load(record) if record else None

    async def watch(self, after_version: int, wait_s: float) -> Record | None:
        """Wait up to ``wait_s`` seconds for a newer root record.

        Returns
        -------
        record : Record or None
            The current record, which may still have version ``after_version``.
        """
        return await self._key_value.watch(self.root_key, after_version, wait_s)

    async def load(self, record: Record) -> Configuration:
        """Read the declaration that a root record references.

        Raises
        ------
        StoreUnavailableError
            If a part is missing or the parts do not match their digest.
        DeclarationError
            If the declaration is not valid.
        """
        root = parse_root(record)
        assert root is not None
        applied = root.in_force
        parts = await _gather(self._cached_part, applied.parts)
        content = b"".join(parts)
        # Another call may have replaced the cache in the meantime.
        self._part_by_name = dict(zip(applied.parts, parts, strict=True))
        if short_digest(content) != applied.digest:
            raise StoreUnavailableError(f"the parts of {applied.apply_id} are damaged")
        declaration, faults = parse_json(Declaration, content)
        if declaration is None:
            raise DeclarationError(faults)
        return Configuration(
            Generation(applied.generation),
            ApplyId(applied.apply_id),
            declaration,
            content,
            record.version,
        )

    async def write(
        self,
        content: bytes,
        apply_id: ApplyId,
        base_generation: Generation | None,
        newest: Configuration | None = None,
        stamp: Stamp | None = None,
    ) -> Generation:
        """Put a declaration in force.

        Parameters
        ----------
        content : bytes
            JSON of a validated declaration.
        apply_id : str
            Identifies this apply; calls with the same id are the same apply.
        base_generation : int or None
            The generation that the operator based the change on, or None for any.
        newest : Configuration or None
            The newest configuration known to this host. If the key-value service
            was restored to an older state, this configuration is written back
            first. Otherwise the apply would get a generation that is not higher
            than the one in force at hosts, which would ignore it.
        stamp : Stamp or None
            Hybrid logical time of the apply.

        Returns
        -------
        generation : int
            The generation of the accepted apply.

        Raises
        ------
        ConflictError
            Another apply was accepted first; this one never takes effect.
        StoreUnavailableError
            The apply did not take effect.
        StoreOutcomeUnknownError
            Whether the apply took effect could not be determined.
        """
        record = await self._key_value.get(self.root_key)
        if newest is not None and await self.restore(record, newest):
            record = await self._key_value.get(self.root_key)
        root = parse_root(record)
        digest = short_digest(content)
        if root is not None and (earlier := root.find(apply_id)) is not None:
            return _check_repeated_apply(earlier, digest)
        current_generation = root.in_force.generation if root else 0
        if base_generation is not None and base_generation != current_generation:
            raise ConflictError(
                f"generation {current_generation} is in force, not {base_generation}",
                CONFLICT_HINT,
            )
        unchanged = root.in_force.parts if root else ()
        parts = await self._write_parts(content, apply_id, unchanged)
        applied = AcceptedApply(
            apply_id=apply_id,
            generation=current_generation + 1,
            digest=digest,
            parts=parts,
            stamp=(stamp.wall_ms, stamp.counter) if stamp else (0, 0),
        )
        try:
            accepted = await self._write_root(root, applied, record)
        except ConflictError:
            await self._delete_parts(set(parts) - set(unchanged))
            raise
        if accepted.parts != parts:
            await self._delete_parts(set(parts) - {*unchanged, *accepted.parts})
        return Generation(accepted.generation)

    async def restore(self, record: Record | None, newest: Configuration) -> bool:
        """Write the newest configuration back if the stored one is older.

        Every generation in memory was accepted by the key-value service before, so
        a lower stored generation means that the service lost writes.

        Returns
        -------
        restored : bool
            Whether the stored configuration was older or missing.
        """
        root = parse_root(record)
        if root is not None and root.in_force.generation >= newest.generation:
            return False
        applied = AcceptedApply(
            apply_id=newest.apply_id,
            generation=newest.generation,
            digest=short_digest(newest.content),
            parts=await self._write_parts(newest.content, newest.apply_id, ()),
        )
        value = next_root(root, applied).model_dump_json().encode()
        version = record.version if record else MUST_NOT_EXIST
        with suppress(StoreConflictError):  # Another host restored it.
            await self._key_value.put(self.root_key, value, version)
        return True

    async def _write_root(
        self, root: Root | None, applied: AcceptedApply, record: Record | None
    ) -> AcceptedApply:
        """Write the root record and return the apply as it was accepted."""
        new = next_root(root, applied)
        version = record.version if record else MUST_NOT_EXIST
        try:
            await self._key_value.put(
                self.root_key, new.model_dump_json().encode(), version
            )
        except (StoreConflictError, StoreOutcomeUnknownError) as error:
            applied = await self._check_own_write(applied, version, error)
        await self._delete_parts(dropped_parts(root, new))
        return applied

    async def _check_own_write(
        self, applied: AcceptedApply, version: int, cause: PlatformError
    ) -> AcceptedApply:
        """Read the root record to determine whose write took effect.

        Called after a conflict or a lost answer. Another call with the same apply
        id may have been accepted with a later generation than this call tried.
        """
        for _ in range(READ_BACK_TRIES):
            try:
                record = await self._key_value.get(self.root_key)
                root = parse_root(record)
            except StoreUnavailableError:
                await asyncio.sleep(READ_BACK_PAUSE_S)
                continue
            found = root.find(ApplyId(applied.apply_id)) if root else None
            if found is not None:
                return found
            if record is not None and record.version != version:
                assert root is not None
                raise ConflictError(
                    f"apply {root.in_force.apply_id} came first as generation "
                    f"{root.in_force.generation}",
                    CONFLICT_HINT,
                ) from cause
            # The write may still arrive. Only a changed version rules that out.
            await asyncio.sleep(READ_BACK_PAUSE_S)
        raise StoreOutcomeUnknownError(
            f"it is not known whether apply {applied.apply_id} took effect",
            f"repeat it with --apply-id={applied.apply_id}: it takes effect once",
        ) from cause

    async def _write_parts(
        self, content: bytes, apply_id: ApplyId, unchanged: tuple[str, ...]
    ) -> tuple[str, ...]:
        """Write the parts that the current root record does not reference.

        Parts that the root record references are deleted only after its version
        has changed, in which case the write of the new root record fails.
        """
        # The names are unique to this call, so that it deletes only its own parts:
        # another call of the same apply may be accepted instead.
        call_id = f"{apply_id}-{uuid.uuid4().hex[:8]}"
        name_by_digest = {digest_from_name(name): name for name in unchanged}
        parts = split(content)
        names = [
            name_by_digest.get(short_digest(part)) or part_name(call_id, part)
            for part in parts
        ]
        new = {n: p for n, p in zip(names, parts, strict=True) if n not in unchanged}

        async def write(name: str) -> None:
            await self._write_part(name, new[name])

        await _gather(write, tuple(new))
        return tuple(names)

    async def _write_part(self, name: str, part: bytes) -> None:
        try:
            await self._key_value.put(
                f"{self._part_prefix}/{name}", part, MUST_NOT_EXIST
            )
        except StoreConflictError:
            return  # The HTTP client resent a write that had succeeded.
        except StoreOutcomeUnknownError:
            await self._check_part(name)

    async def _check_part(self, name: str) -> None:
        """Check that a part exists after the answer to its write was lost.

        A missing part makes the apply fail without effect, because no root record
        references the part yet.
        """
        for _ in range(READ_BACK_TRIES):
            with suppress(StoreUnavailableError):
                await self._read_part(name)
                return
            await asyncio.sleep(READ_BACK_PAUSE_S)
        raise StoreUnavailableError(f"part {name} was not written")

    async def _delete_parts(self, names: set[str]) -> None:
        for name in names:
            key = f"{self._part_prefix}/{name}"
            with suppress(PlatformError):
                record = await self._key_value.get(key)
                if record is not None:
                    await self._key_value.delete(key, record.version)

    async def _cached_part(self, name: str) -> bytes:
        part = self._part_by_name.get(name)
        if part is None:
            part = await self._read_part(name)
            self._part_by_name[name] = part
        return part

    async def _read_part(self, name: str) -> bytes:
        record = await self._key_value.get(f"{self._part_prefix}/{name}")
        if record is None:
            raise StoreUnavailableError(f"part {name} is missing")
        return record.value


async def _gather(
    call: Callable[[str], Awaitable[T]], names: tuple[str, ...]
) -> list[T]:
    """Call ``call`` for each name with limited concurrency.

    The results are in the order of the names.
    """
    semaphore = asyncio.Semaphore(CONCURRENT_CALLS)

    async def limited(name: str) -> T:
        async with semaphore:
            return await call(name)

    return await asyncio.gather(*(limited(name) for name in names))


def _check_repeated_apply(earlier: AcceptedApply, digest: str) -> Generation:
    """Return the generation of an apply that was already accepted.

    Raises
    ------
    ConflictError
        If it was accepted with another declaration.
    """
    if earlier.digest != digest:
        raise ConflictError(
            f"apply {earlier.apply_id} was accepted with another declaration",
            "take another --apply-id for another declaration",
        )
    return Generation(earlier.generation)
