"""Runs a gateway on the deployment platform; an environment variable names the settings file.

This does not import the full command line, which takes half a second and would delay a restart.
"""

import os
import signal
import sys
from pathlib import Path

SETTINGS_VARIABLE = "PUMICEDECK_BOOT"


def main() -> int:
    """Run the gateway and return the exit status."""
    # The default action ends the process, and the imports take a while. The settings file is read
    # after them, so that nothing is missed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from result import Err

    from pumicedeck.gateway_compositions import run_gateway
    from pumicedeck.results import Failure, ResultCode

    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        outcome = Err(
            Failure(
                ResultCode.BAD_SETTINGS,
                f"{SETTINGS_VARIABLE} must name the settings file, but is unset or empty",
            )
        )
    else:
        outcome = run_gateway(Path(path))
    if isinstance(outcome, Err):
        failure = outcome.err_value
        sys.stderr.write(f"{int(failure.code)} {failure.code.name}: {failure.detail}\n")
        return failure.code.info.exit_status
    return 0


if __name__ == "__main__":
    sys.exit(main())
