"""Run the command line with `python -m agatetack`."""

import os
import sys

BUILT = os.path.join(
    os.path.dirname(os.path.dirname(os.path.abspath(__file__))),
    "target",
    "deps",
)
"""Where the build of the deploy file puts the dependencies."""

DAEMON = ["gateway"]
"""Command line of a daemon whose settings file an environment variable names.

It bypasses the command line parser. Importing the parser and the operators'
commands takes 0.5 of the 1.2 s in which a killed host serves again.
"""


def _explain_import(error: ImportError) -> str:
    """Return the line for a program that can't be loaded."""
    version = ".".join(map(str, sys.version_info[:3]))
    return (
        f"agatetack: cannot be loaded by Python {version}: {error}; its"
        " dependencies come from `python3 deploy/build.py`, run by the same"
        " Python"
    )


def main() -> None:
    """Run the daemon directly, or else parse the command line."""
    if sys.argv[1:2] == DAEMON:
        # These come first, as loading the rest takes most of a second.
        from agatetack.listeners import listen_early
        from agatetack.process import (
            disable_collector,
            end_process,
            hold_signals,
            open_standard_files,
            report_early,
        )

        hold_signals()
        open_standard_files()
        disable_collector()
        problem = listen_early()
        if problem is not None:
            report_early(f"not listening yet: {problem}")
    if sys.argv[1:] == DAEMON:
        if os.path.isdir(BUILT) and BUILT not in sys.path:
            # Last, so that installed dependencies go first. `python3 -S` reads
            # no path files, which may name this folder.
            sys.path.append(BUILT)
        try:
            from agatetack.errors import UserError
            from agatetack.start import start_gateway
        except ImportError as error:
            sys.exit(_explain_import(error))
        try:
            status = start_gateway()
        except UserError as error:
            print(f"agatetack: {error}", file=sys.stderr)
            status = 1
        end_process(status)
    from agatetack.commands import main as run_commands

    run_commands()


if __name__ == "__main__":
    main()
