"""Test what reaches targets that name the requests a second they take.

Seen: targets of a busy service began to name a rate in their answers, 1.3 to 2
requests a second from all hosts together, and got what they had got before: up
to 31 requests in 4 s where 13 were allowed. Callers noticed little.

How it came about: no host read the name of the rate. It was passed on to the
caller with the rest of the answer, and choice of target, repeats, looks and
probes went on by load alone. What a host measures counts at the target like any
request: of 21 that were reported in 4 s, 14 were callers' requests.

Proved by: as many arrivals at these targets in the 8 s before as in the 8 s
after, and as many as at targets of the service that named none; no line and no
counter of any host that knew of a rate.
"""

import pytest

from agatetack.testing.limited_fleet import limited_fleet, most_within

WINDOW_SECONDS = 4.0
TOLD_SECONDS = 0.5
"""After which a host that passed on a rate has to keep to it."""

STABLE_SECONDS = 3.0
"""Time from the first naming of a rate until it binds."""

RATIO = 1.5
SLACK = 5


def bound(rate):
    return RATIO * rate * WINDOW_SECONDS + SLACK


@pytest.mark.parametrize(
    ("rate", "linked"), [(0.2, True), (1.3, True), (1.3, False), (1.8, True)]
)
async def test_no_more_reaches_them_than_they_take(
    autojump_clock, monkeypatch, rate, linked
):
    # Hosts that are not linked hear nothing of each other.
    async with limited_fleet(monkeypatch, 14, 9, linked) as fleet:
        await fleet.press(4.0, 34.0)
        limited = fleet.targets[::2]
        for target in limited:
            target.faults.rate_limits = (b"%.1f" % rate,)
            target.arrivals.clear()
        await fleet.press(STABLE_SECONDS + 2 * WINDOW_SECONDS, 34.0, seed=2)
        most = [
            most_within(fleet.from_told(target, TOLD_SECONDS), WINDOW_SECONDS)
            for target in limited
        ]
        assert max(most) <= bound(rate)
