"""The root record of the stored configuration."""

from __future__ import annotations

import re
from typing import Annotated

from pydantic import Field

from ..coordination.key_value import Record
from ..exceptions import DeclarationError, StoreUnavailableError
from ..models.declaration import StrictModel
from ..models.ids import ApplyId
from ..utils.validation import parse_json

MAX_RETAINED_APPLIES = 32
APPLY_ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}")


class AcceptedApply(StrictModel):
    """An accepted apply, retained so that its outcome can be read later.

    Parameters
    ----------
    digest : str
        Digest of the whole declaration.
    parts : tuple of str
        Names of the parts; empty for an apply that is no longer in force.
    stamp : tuple of int
        Hybrid logical time of the apply. It orders the apply before its effects
        at other hosts in the timeline.
    """

    apply_id: str
    generation: Annotated[int, Field(ge=1)]
    digest: str
    parts: tuple[str, ...] = Field(strict=False)
    stamp: tuple[int, int] = Field(default=(0, 0), strict=False)


class Root(StrictModel):
    """Content of the root record.

    Parameters
    ----------
    applies : tuple of AcceptedApply
        The latest accepted applies, newest first; the first one is in force.
    """

    applies: tuple[AcceptedApply, ...] = Field(strict=False, min_length=1)

    @property
    def in_force(self) -> AcceptedApply:
        return self.applies[0]

    def find(self, apply_id: ApplyId) -> AcceptedApply | None:
        """Return the apply with an id, or None if it is not among the latest."""
        return next((a for a in self.applies if a.apply_id == apply_id), None)


def next_root(root: Root | None, applied: AcceptedApply) -> Root:
    """Return the root record that follows ``root`` once an apply is accepted."""
    earlier = [a.model_copy(update={"parts": ()}) for a in root.applies] if root else []
    return Root(applies=(applied, *earlier[: MAX_RETAINED_APPLIES - 1]))


def dropped_parts(before: Root | None, after: Root) -> set[str]:
    """Return the parts that the new root record no longer references."""
    old_parts = set(before.in_force.parts) if before else set()
    return old_parts - set(after.in_force.parts)


def parse_root(record: Record | None) -> Root | None:
    """Parse the root record.

    Raises
    ------
    StoreUnavailableError
        If the record is not valid.
    """
    if record is None:
        return None
    root, faults = parse_json(Root, record.value)
    if root is None:
        raise StoreUnavailableError(f"the root record is damaged: {faults}")
    return root


def check_apply_id(apply_id: str) -> ApplyId:
    """Validate the id of an apply; raises `DeclarationError`."""
    if APPLY_ID_PATTERN.fullmatch(apply_id) is None:
        found = apply_id[:80]
        raise DeclarationError(
            [f"apply_id: found {found!r}, allowed: 1 to 64 letters, digits, ._-"]
        )
    return ApplyId(apply_id)
