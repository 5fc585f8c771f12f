"""Make ids of attempts."""

import itertools
import os

from agatetack.ids import AttemptId

_prefix = os.urandom(9).hex()
_numbers = itertools.count()


def new_attempt_id() -> AttemptId:
    """Return an id that no other host and no earlier start can make.

    A random prefix for each process and a count within it; drawing random
    bits for each attempt would cost a system call.
    """
    return AttemptId(f"{_prefix}-{next(_numbers):x}")
