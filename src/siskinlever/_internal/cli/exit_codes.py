"""Exit codes of the command line."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit code of a command; the help text in ``cli/main.py`` describes each."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNREACHABLE = 5
    OUTCOME_UNKNOWN = 6
    NOT_CONFIRMED = 7
