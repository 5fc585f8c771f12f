"""Test how reports and registrations change a target's warmth."""

import math

import pytest

from agatetack.targets.warmth import Warmth


@pytest.mark.parametrize(
    ("steps", "warm_at", "cold_since"),
    [
        ([], 0.0, -math.inf),
        ([("listed", 13.0, 10.0)], 13.0, 10.0),
        ([("note", 13.0, 10.0)], 13.0, 10.0),
        # A report of the target overrides a registration, which lags.
        ([("listed", 13.5, 10.0), ("note", 13.0, 11.0)], 13.0, 10.0),
        ([("note", 10.0, 10.0), ("listed", 12.0, 10.5)], 12.0, 10.5),
        # A repeated registration changes nothing.
        (
            [
                ("listed", 13.0, 10.0),
                ("note", 11.0, 11.0),
                ("listed", 13.0, 12),
            ],
            11.0,
            10.0,
        ),
        # A report older than the last one is ignored.
        ([("note", 13.0, 10.0), ("note", 9.0, 9.0)], 13.0, 10.0),
        # After an invalidation the target is cold until it reports again.
        ([("doubt", 10.0)], math.inf, 10.0),
        ([("doubt", 10.0), ("note", 9.5, 9.5)], math.inf, 10.0),
        ([("doubt", 10.0), ("listed", 12.0, 11.0)], math.inf, 10.0),
        ([("doubt", 10.0), ("note", 10.2, 10.2)], 10.2, 10.0),
        ([("doubt", 10.0), ("note", 13.2, 10.2)], 13.2, 10.0),
        # Cold again during the warm-up, and after it.
        ([("note", 13.0, 10.0), ("note", 15.0, 12.0)], 15.0, 10.0),
        ([("note", 13.0, 10.0), ("note", 17.0, 14.0)], 17.0, 14.0),
    ],
)
def test_the_latest_word_counts(steps, warm_at, cold_since):
    warmth = Warmth()
    for kind, *values in steps:
        take = {
            "listed": warmth.note_listed,
            "note": warmth.note,
            "doubt": warmth.invalidate,
        }[kind]
        take(*values)
    assert warmth.warm_at == warm_at
    assert warmth.cold_since == cold_since
    assert warmth.is_cold(min(warm_at, 1e9) - 0.1)
    assert not warmth.is_cold(math.inf)
