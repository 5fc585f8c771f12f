"""Test describing the errors that end a process."""

import pytest

from agatetack.failures import MAX_CAUSES, describe_failure


def raised(error):
    try:
        raise error
    except BaseException as caught:
        return caught


@pytest.mark.parametrize(
    ("error", "parts"),
    [
        (KeyError("x"), ["KeyError: 'x'", "test_failures.py", "in raised"]),
        (OSError("two\nlines"), ["OSError: two lines"]),
        (
            ExceptionGroup("", [ExceptionGroup("", [KeyError("a")])]),
            ["KeyError: 'a'"],
        ),
        (
            BaseExceptionGroup("", [ValueError("a"), KeyboardInterrupt()]),
            ["ValueError: a; KeyboardInterrupt"],
        ),
        (
            ExceptionGroup("", [ValueError(str(n)) for n in range(9)]),
            [f"ValueError: {MAX_CAUSES - 1}; and {9 - MAX_CAUSES} more"],
        ),
    ],
)
def test_each_cause_stands_in_one_line(error, parts):
    line = describe_failure(raised(error))
    assert "\n" not in line
    assert [part for part in parts if part not in line] == []
