"""The daemon of one host.

Usage:
  siskinleverd --settings=FILE [--check]
  siskinleverd (-h | --help)
  siskinleverd --version

Options:
  --settings=FILE  The settings of this process, in JSON.
  --check          Check the settings and exit.
  -h --help        Show this help.
  --version        Show the version.
"""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

# Must be set before the first loop exists: uvloop would open an io_uring.
os.environ["UV_USE_IO_URING"] = "0"

import uvloop
from absl import logging
from docopt import docopt

from ... import __version__
from ..daemon.server import serve
from ..exceptions import SettingsError
from ..models.settings import Settings
from ..network.tls import tls_faults
from ..utils.validation import parse_document
from .exit_codes import ExitCode


def main(argv: list[str] | None = None) -> int:
    """Run the daemon; return its exit code."""
    arguments = docopt(__doc__ or "", argv=argv, version=__version__)
    try:
        settings = load_settings(Path(arguments["--settings"]))
    except SettingsError as error:
        for line in error.message.split("\n"):
            print(f"siskinleverd: {line}", file=sys.stderr)
        return ExitCode.INVALID
    if arguments["--check"]:
        print(f"{arguments['--settings']}: valid")
        return ExitCode.OK
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold(logging.INFO)
    logging.use_absl_handler()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(settings))
    return ExitCode.OK


def load_settings(path: Path) -> Settings:
    """Read the settings of a process; raises `SettingsError`."""
    try:
        content = path.read_bytes()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    settings, faults = parse_document(Settings, content)
    if settings is not None:
        faults = tls_faults(settings.tls)
    if settings is None or faults:
        raise SettingsError("\n".join(f"{path}: {fault}" for fault in faults))
    return settings


if __name__ == "__main__":
    sys.exit(main())
