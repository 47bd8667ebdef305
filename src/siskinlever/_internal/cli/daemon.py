"""The daemon of one host.

Usage:
  siskinleverd --settings=FILE [--check]
  siskinleverd --platform [--check]
  siskinleverd (-h | --help)
  siskinleverd --version

Options:
  --settings=FILE  The settings of this process, in JSON.
  --platform       Run on the platform, with the settings file that it writes.
  --check          Check the settings and exit.
  -h --help        Show this help.
  --version        Show the version.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Callable, Coroutine

from ... import __version__
from ..utils.early_signals import EarlySignals

# As `typing.TYPE_CHECKING`, without the time that importing it takes.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from pathlib import Path
    from typing import Any

    from ..models.settings import Settings

# Must be set before the first event loop is created: uvloop would otherwise
# open an io_uring.
os.environ["UV_USE_IO_URING"] = "0"


def main(argv: list[str] | None = None) -> int:
    """Run the daemon and return its exit code."""
    early_signals = EarlySignals()
    early_signals.install()
    return _run(argv, early_signals)


def _run(argv: list[str] | None, early_signals: EarlySignals) -> int:
    # These take a tenth of a second and more to import.
    import asyncio

    import uvloop
    from docopt import docopt

    from ..exceptions import SettingsError
    from .exit_codes import ExitCode

    arguments = docopt(__doc__ or "", argv=argv, version=__version__)
    prepare = _prepare_platform if arguments["--platform"] else _prepare_standalone
    try:
        path, serve = prepare(arguments, early_signals)
    except SettingsError as error:
        for line in error.message.split("\n"):
            print(f"siskinleverd: {line}", file=sys.stderr)
        return ExitCode.INVALID
    if arguments["--check"]:
        print(f"{path}: valid")
        return ExitCode.OK
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve())
    return ExitCode.OK


def _prepare_platform(
    arguments: dict[str, Any], early_signals: EarlySignals
) -> tuple[Path, Callable[[], Coroutine[Any, Any, None]]]:
    # Each mode imports only the modules that it needs, because memory is scarce
    # on small hosts.
    from ..daemon.gateway import serve_gateway
    from ..platform.settings import read_settings, settings_path

    path = settings_path()
    settings = read_settings(path)
    return path, lambda: serve_gateway(
        settings, lambda: read_settings(path), early_signals
    )


def _prepare_standalone(
    arguments: dict[str, Any], early_signals: EarlySignals
) -> tuple[Path, Callable[[], Coroutine[Any, Any, None]]]:
    from pathlib import Path

    from absl import logging

    from ..daemon.server import serve

    path = Path(arguments["--settings"])
    settings = load_settings(path)
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold(logging.INFO)
    logging.use_absl_handler()
    return path, lambda: serve(settings, early_signals)


def load_settings(path: Path) -> Settings:
    """Read the settings of a process.

    Raises
    ------
    SettingsError
        If the file cannot be read or is not valid.
    """
    from ..exceptions import SettingsError
    from ..models.settings import Settings
    from ..network.tls import tls_faults
    from ..utils.validation import parse_document

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
