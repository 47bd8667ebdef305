"""Starts the daemon from a checkout, with its directory on the import path."""

import sys

from siskinlever._internal.cli.daemon import main

sys.exit(main())
