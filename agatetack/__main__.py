"""Run the command line with `python -m agatetack`."""

import sys

DAEMON = ["gateway"]
"""The command line of a daemon whose settings file a variable names.

It is not parsed, as importing the parser and the operators' commands takes
0.5 of 1.2 s until a host serves again after it was killed (measured with
`python -X importtime`).
"""


def main() -> None:
    """Run the command line, or the daemon at once."""
    if sys.argv[1:] == DAEMON:
        # Before anything else, as loading the rest takes most of a second.
        from agatetack.collector import hold_collector
        from agatetack.early_listener import listen_early

        hold_collector()
        problem = listen_early()
        if problem is not None:
            print(f"agatetack: not listening yet: {problem}", file=sys.stderr)
        from agatetack.errors import UserError
        from agatetack.start import start_gateway

        try:
            sys.exit(start_gateway())
        except UserError as error:
            print(f"agatetack: {error}", file=sys.stderr)
            sys.exit(1)
    from agatetack.commands import main as run_commands

    run_commands()


main()
