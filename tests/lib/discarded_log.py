"""A descriptor for log lines that no test reads."""

from __future__ import annotations

import os

# Opened once: most tests make many logs, each of which would use a descriptor.
DISCARDED_LOG = os.open(os.devnull, os.O_WRONLY)
