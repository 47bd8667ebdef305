"""How sure a host is that a runner can be reached."""

from enum import IntEnum


class Reachability(IntEnum):
    """Whose calls lately failed to reach a runner."""

    REACHABLE = 0
    # It may be the other host that is cut off.
    REPORTED_UNREACHABLE = 1
    UNREACHABLE = 2
