"""``python -m granitetrestle.platform``: the daemon as a native of the platform."""

import os
import sys

from ..errors import SettingsError
from .process import run
from .settings import BOOT_VARIABLE


def main() -> None:
    """Run the process that the platform's settings file describes."""
    try:
        run(os.environ.get(BOOT_VARIABLE, ""))
    except SettingsError as error:
        for problem in error.problems:
            print(f"granitetrestled: {problem}", file=sys.stderr)
        sys.exit(error.exit_code)


main()
