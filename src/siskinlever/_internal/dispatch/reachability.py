"""Reachability of runners as observed by this host and reported by others."""

from enum import IntEnum


class Reachability(IntEnum):
    """Whether recent calls to a runner failed; higher values are worse."""

    REACHABLE = 0
    # Another host reported a failed or unanswered call. The fault may be on that
    # host's side.
    REPORTED_UNREACHABLE = 1
    # A call of this host failed or was not answered.
    UNREACHABLE = 2
