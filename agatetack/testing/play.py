"""Play traces by hand: `python -m agatetack.testing.play FILE...`."""

import pathlib
import sys
from collections.abc import Sequence

from agatetack.errors import UserError
from agatetack.testing.replay import run_trace
from agatetack.testing.replay_checks import check_replay
from agatetack.testing.trace import load_trace


def main(paths: Sequence[str]) -> int:
    """Play the traces in files and print what is not as stated.

    Returns:
        The exit status: 0 if all is as stated, 1 if not, 2 for a bad trace.
    """
    status = 0
    for path in map(pathlib.Path, paths):
        try:
            trace = load_trace(path)
        except (OSError, UserError) as error:
            print(error)
            return 2
        findings = check_replay(run_trace(trace), path.name)
        print("\n".join(findings) or f"{path.name}: as stated")
        if findings:
            status = 1
    return status


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
