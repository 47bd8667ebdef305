"""Run the daemon from a checkout.

Python puts the directory of this script on the import path.
"""

import sys

from siskinlever._internal.cli.daemon import main

sys.exit(main())
