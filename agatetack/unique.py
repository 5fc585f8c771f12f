"""Make names that no other process and no earlier start can make."""

import itertools
import os

from agatetack.ids import AttemptId

_prefix = os.urandom(9).hex()
_numbers = itertools.count()


def unique_name() -> str:
    """Return a name that is unique over all hosts and restarts.

    A random prefix for each process and a count within it; drawing random
    bits for each name would cost a system call.
    """
    return f"{_prefix}-{next(_numbers):x}"


def new_attempt_id() -> AttemptId:
    """Return an id of an attempt."""
    return AttemptId(unique_name())
