"""Test which load reports are sent to other hosts."""

import pytest
import trio

from agatetack.ids import Deadline
from agatetack.measure.update_filter import (
    UpdateFilter,
    total_load,
    unreported_load,
)
from agatetack.metrics import Metrics
from agatetack.settings.defaults import default_settings
from agatetack.targets.registry import TargetRegistry
from agatetack.targets.state import LoadReport, ReportSource
from agatetack.testing.targets import SERVICE, listed_target


def report(in_flight, own, reported, slowness):
    now = Deadline(trio.current_time())
    return LoadReport(
        in_flight, 3, own, now, ReportSource.PROBE, slowness, reported
    )


@pytest.mark.parametrize(
    ("load", "first", "second", "pause", "news"),
    [
        (unreported_load, (2, 1, 1, 1.0), (2, 1, 1, 1.0), 0.1, False),
        # Each host reports its own requests by itself.
        (unreported_load, (1, 1, 0, 1.0), (3, 1, 2, 1.0), 0.1, False),
        (unreported_load, (1, 1, 0, 1.0), (3, 1, 1, 1.0), 0.1, True),
        # Hosts of other groups receive no counts of requests.
        (total_load, (1, 1, 0, 1.0), (3, 1, 2, 1.0), 0.1, True),
        (total_load, (2, 1, 0, 1.0), (2, 2, 0, 1.0), 0.1, False),
        (unreported_load, (0, 0, 0, 1.0), (0, 0, 0, 1.1), 0.1, False),
        (unreported_load, (0, 0, 0, 1.0), (0, 0, 0, 7.0), 0.1, True),
        (unreported_load, (0, 0, 0, 7.0), (0, 0, 0, 1.0), 0.1, True),
        # Sent again, as a message may have been lost.
        (unreported_load, (0, 0, 0, 1.0), (0, 0, 0, 1.0), 1.1, True),
    ],
)
async def test_only_what_hearers_do_not_know_is_news(
    autojump_clock, load, first, second, pause, news
):
    registry = TargetRegistry(default_settings(), Metrics())
    registry.update([listed_target(1)])
    target = registry.targets(SERVICE)[0]
    updates = UpdateFilter(registry, load)
    assert updates.accept(target, report(*first))
    await trio.sleep(pause)
    assert updates.accept(target, report(*second)) is news


@pytest.mark.parametrize(
    ("first", "second", "news"),
    [(0.0, 0.0, False), (0.0, 3.0, True), (3.0, 0.0, True), (3.0, 2.9, False)],
)
async def test_a_target_that_turns_cold_or_warm_is_news(
    autojump_clock, first, second, news
):
    registry = TargetRegistry(default_settings(), Metrics())
    registry.update([listed_target(1)])
    target = registry.targets(SERVICE)[0]
    updates = UpdateFilter(registry, unreported_load)
    for left in (first, second):
        now = Deadline(trio.current_time())
        target.warmth.note(Deadline(now + left), now)
        taken = updates.accept(target, report(0, 0, 0, 1.0))
        await trio.sleep(0.1)
    assert taken is news
