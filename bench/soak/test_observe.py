"""Test what a report says of latencies and refusals."""

import pytest

from bench.soak.callers import Attempt, CallerRequest, Result
from bench.soak.observe import (
    latencies,
    read_kernel_counters,
    refusal_times,
    timeline,
)
from bench.soak.site import small_site

SITE = small_site(per_second=40.0)
KIND = SITE.kinds["profile-read"]


def asked(started, *attempts):
    """Return a request with attempts: start, end, result, status, detail."""
    made = [Attempt("r", "h", *attempt) for attempt in attempts]
    return CallerRequest(KIND, SITE.traffic[0].domain, started, made)


REQUESTS = [
    asked(0.0, (0.0, 0.1, Result.SERVED, 200)),
    asked(
        0.5,
        (0.5, 0.6, Result.REFUSED, 503, "overload retry-after=0.3"),
        (0.9, 1.5, Result.SERVED, 200),
    ),
    asked(1.2, (1.2, 1.2, Result.NOT_CONNECTED, 0, "OSError")),
]


def test_latencies_count_from_the_first_attempt():
    assert latencies(REQUESTS) == {
        "profile-read": {
            "p50_ms": 1000.0,
            "p99_ms": 1000.0,
            "target_ms": 400,
            "in_time_share": 0.5,
        }
    }


def test_refusals_are_timed_by_reason():
    assert refusal_times(REQUESTS) == {
        "overload": {"p50_ms": 100.0, "p99_ms": 100.0}
    }


def test_the_timeline_has_each_attempt_in_the_second_of_its_start():
    assert timeline(REQUESTS) == [
        "0: 2 served, 1 refused 503 overload",
        "1: 1 not-connected OSError",
    ]


def test_the_kernel_counts_retransmits():
    assert read_kernel_counters()["RetransSegs"] >= 0


@pytest.mark.parametrize("factor", [0.5, 2.0])
def test_a_scaled_site_has_scaled_rates(factor):
    (traffic,) = SITE.scaled(factor).traffic
    assert sum(traffic.rates.values()) == pytest.approx(40.0 * factor)
