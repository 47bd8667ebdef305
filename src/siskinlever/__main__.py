"""Entry point of the command-line tool."""

import sys


def main() -> int:
    """Run the command line and return its exit code."""
    from ._internal.cli.main import main as run

    return run()


if __name__ == "__main__":
    sys.exit(main())
