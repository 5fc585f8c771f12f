"""Test which load reports are sent to other hosts."""

import pytest
import trio

from agatetack.ids import Deadline
from agatetack.measure.news import ReportNews, unseen_load, whole_load
from agatetack.metrics import Metrics
from agatetack.settings.defaults import default_settings
from agatetack.targets.registry import TargetRegistry
from agatetack.targets.state import LoadReport, ReportSource
from agatetack.testing.targets import SERVICE, listed_target


def report(in_flight, own, told, slowness):
    now = Deadline(trio.current_time())
    return LoadReport(
        in_flight, 3, own, now, ReportSource.PROBE, slowness, told
    )


@pytest.mark.parametrize(
    ("load", "first", "second", "pause", "news"),
    [
        (unseen_load, (2, 1, 1, 1.0), (2, 1, 1, 1.0), 0.1, False),
        # Each host reports its own requests by itself.
        (unseen_load, (1, 1, 0, 1.0), (3, 1, 2, 1.0), 0.1, False),
        (unseen_load, (1, 1, 0, 1.0), (3, 1, 1, 1.0), 0.1, True),
        # Hosts of other groups receive no counts of requests.
        (whole_load, (1, 1, 0, 1.0), (3, 1, 2, 1.0), 0.1, True),
        (whole_load, (2, 1, 0, 1.0), (2, 2, 0, 1.0), 0.1, False),
        (unseen_load, (0, 0, 0, 1.0), (0, 0, 0, 1.1), 0.1, False),
        (unseen_load, (0, 0, 0, 1.0), (0, 0, 0, 7.0), 0.1, True),
        (unseen_load, (0, 0, 0, 7.0), (0, 0, 0, 1.0), 0.1, True),
        # Sent again, as a message may have been lost.
        (unseen_load, (0, 0, 0, 1.0), (0, 0, 0, 1.0), 1.1, True),
    ],
)
async def test_only_what_hearers_do_not_know_is_news(
    autojump_clock, load, first, second, pause, news
):
    registry = TargetRegistry(default_settings(), Metrics())
    registry.update([listed_target(1)])
    target = registry.targets(SERVICE)[0]
    told = ReportNews(registry, load)
    assert told.take(target, report(*first))
    await trio.sleep(pause)
    assert told.take(target, report(*second)) is news


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
    told = ReportNews(registry, unseen_load)
    for left in (first, second):
        now = Deadline(trio.current_time())
        target.warmth.note(Deadline(now + left), now)
        taken = told.take(target, report(0, 0, 0, 1.0))
        await trio.sleep(0.1)
    assert taken is news
