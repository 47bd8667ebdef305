"""Reachability of runners as observed by this host and reported by others."""

from enum import IntEnum


class Reachability(IntEnum):
    """Whether recent connections to a runner failed; higher values are worse."""

    REACHABLE = 0
    # Another host failed to connect. The fault may be on that host's side.
    REPORTED_UNREACHABLE = 1
    # This host failed to connect.
    UNREACHABLE = 2
