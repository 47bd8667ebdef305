"""How sure a host is that a runner can be reached."""

from enum import IntEnum


class Doubt(IntEnum):
    """Whose calls lately failed to reach a runner."""

    NONE = 0
    # It may be the other host that is cut off.
    OTHERS = 1
    OWN = 2
