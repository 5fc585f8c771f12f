"""Make ids of attempts."""

from agatetack.ids import AttemptId
from agatetack.unique import unique_name


def new_attempt_id() -> AttemptId:
    """Return an id that no other host and no earlier start can make."""
    return AttemptId(unique_name())
