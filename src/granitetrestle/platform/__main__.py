"""``python -m granitetrestle.platform``: the daemon as a process of the platform."""

import os
import sys

from ..errors import SettingsError
from ..mechanisms import parse_switched_off
from ..stopsignals import ignore_hangup
from .settings import BOOT_VARIABLE
from .settings import OFF_VARIABLE


def main() -> None:
    """Run the daemon with the platform's settings file.

    Exits with the error's exit code if the settings or the list of mechanisms to
    switch off are malformed.
    """
    ignore_hangup()
    # Loading it takes most of the time of a start.
    from .process import run  # noqa: PLC0415

    try:
        off = parse_switched_off(os.environ.get(OFF_VARIABLE, ""))
        run(os.environ.get(BOOT_VARIABLE, ""), off)
    except SettingsError as error:
        for problem in error.problems:
            print(f"granitetrestled: {problem}", file=sys.stderr)
        sys.exit(error.exit_code)


main()
