"""Signals that arrive before the event loop of the daemon handles them.

By default a SIGHUP ends a process. This module is installed before anything large is
imported, so it imports nothing but what the interpreter has loaded already.
"""

from __future__ import annotations

import signal
from types import FrameType


class EarlySignals:
    """Keeps a request to reload until it can be served; ends the process on a stop.

    The handlers of the event loop replace these one by one.
    """

    def __init__(self) -> None:
        self._is_reload_due = False

    def install(self) -> None:
        """Handle SIGHUP, SIGTERM and SIGINT from now on."""
        signal.signal(signal.SIGHUP, self._note_reload)
        signal.signal(signal.SIGTERM, _end)
        signal.signal(signal.SIGINT, _end)

    def take_reload(self) -> bool:
        """Return whether a SIGHUP has arrived, once."""
        is_due, self._is_reload_due = self._is_reload_due, False
        return is_due

    def _note_reload(self, number: int, frame: FrameType | None) -> None:
        self._is_reload_due = True


def _end(number: int, frame: FrameType | None) -> None:
    # Nothing is served yet, so there is nothing to finish first.
    raise SystemExit(0)
