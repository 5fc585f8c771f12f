"""Generate names that are unique over all processes and restarts."""

import itertools
import os

from agatetack.ids import AttemptId

_prefix = os.urandom(9).hex()
_numbers = itertools.count()


def unique_name() -> str:
    """Return a name that is unique over all hosts and restarts.

    It consists of a random prefix for each process and a counter. Random bits
    for each name would cost a system call each time.
    """
    return f"{_prefix}-{next(_numbers):x}"


def new_attempt_id() -> AttemptId:
    """Return a new, unique attempt id."""
    return AttemptId(unique_name())
