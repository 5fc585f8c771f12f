"""Test which rate limits of targets are accepted and kept."""

import math

import pytest

from agatetack.headers import DecimalProblem, ParsedDecimal
from agatetack.targets.rate_limit import RateLimit, read_rate


@pytest.mark.parametrize(
    ("values", "rate"),
    [
        ((), None),
        ((b"1.3",), 1.3),
        ((b"40",), 40.0),
        ((b" 0.2 ",), 0.2),
    ],
)
def test_a_rate_is_a_decimal_number(values, rate):
    assert read_rate(values) == ParsedDecimal(rate)


@pytest.mark.parametrize(
    ("values", "problem"),
    [
        ((b"",), DecimalProblem.NOT_A_NUMBER),
        ((b"-1.3",), DecimalProblem.NOT_A_NUMBER),
        ((b"+1.3",), DecimalProblem.NOT_A_NUMBER),
        ((b"nan",), DecimalProblem.NOT_A_NUMBER),
        ((b"inf",), DecimalProblem.NOT_A_NUMBER),
        ((b"1e309",), DecimalProblem.NOT_A_NUMBER),
        ((b"1,3",), DecimalProblem.NOT_A_NUMBER),
        ((b"0",), DecimalProblem.OUT_OF_RANGE),
        ((b"0.000",), DecimalProblem.OUT_OF_RANGE),
        ((b"10000000",), DecimalProblem.OUT_OF_RANGE),
        ((b"1.3", b"1.3"), DecimalProblem.REPEATED),
        ((b"1" * 65536,), DecimalProblem.TOO_LONG),
    ],
)
def test_anything_else_is_not_believed(values, problem):
    assert read_rate(values) == ParsedDecimal(problem=problem)


@pytest.mark.parametrize(
    ("words", "rate", "since"),
    [
        ([], None, -math.inf),
        ([(2.0, 10.0)], 2.0, 10.0),
        # A change of the rate does not start a new limit.
        ([(2.0, 10.0), (0.5, 11.0), (3.0, 12.0)], 3.0, 10.0),
        # The limit ends and starts again.
        ([(2.0, 10.0), (None, 11.0)], None, 10.0),
        ([(2.0, 10.0), (None, 11.0), (2.0, 12.0)], 2.0, 12.0),
        # A report older than the last one is ignored.
        ([(2.0, 10.0), (None, 9.0)], 2.0, 10.0),
        ([(2.0, 10.0), (3.0, 9.0)], 2.0, 10.0),
    ],
)
def test_the_latest_word_counts(words, rate, since):
    limit = RateLimit()
    for word in words:
        limit.note(*word)
    assert (limit.rate, limit.since) == (rate, since)
