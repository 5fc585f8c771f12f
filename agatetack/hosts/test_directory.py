"""Test which lists the directory accepts."""

import dataclasses

import pytest
import trio

from agatetack.hosts.directory import REPEAT_SECONDS, HostDirectory
from agatetack.hosts.host_list import HostRole, HostState, ListedHost
from agatetack.ids import FailureDomain, HostId, ServiceId
from agatetack.metrics import Metrics
from agatetack.settings.defaults import default_settings
from agatetack.testing.memory_host_list import MemoryHostList

POLL_SECONDS = 1
HOLD_SECONDS = 30


def target(name: str) -> ListedHost:
    """Make an entry from the service's letter, a number, and `!` if leaving."""
    leaving = name.endswith("!")
    return ListedHost(
        id=HostId(name.rstrip("!")),
        role=HostRole.TARGET,
        state=HostState.LEAVING if leaving else HostState.LIVE,
        ip="127.0.0.1",
        port=1000,
        failure_domain=FailureDomain("a"),
        service=ServiceId(name[0]),
    )


@dataclasses.dataclass(frozen=True)
class Step:
    """One poll: the list that is read, and the entries in use after it.

    Attributes:
        listed: Names on the list; None for an outage.
        believed: Names in use after the poll, or None if equal to `listed`.
        later: Seconds that pass after this poll.
    """

    listed: str | None
    believed: str | None = None
    later: float = POLL_SECONDS


@dataclasses.dataclass(frozen=True)
class ListCase:
    """A sequence of polls."""

    name: str
    steps: tuple[Step, ...]


EIGHT = "a1 a2 a3 a4 a5 a6 a7 a8"
CASES = (
    ListCase("grows at once", (Step("a1"), Step("a1 a2 b1"))),
    ListCase("leaving at once", (Step("a1 a2"), Step("a1! a2!"))),
    ListCase("one of three vanishes", (Step("a1 a2 a3"), Step("a1 a2"))),
    ListCase("a half vanishes", (Step(EIGHT), Step("a5 a6 a7 a8"))),
    ListCase(
        "most vanish, and are missed only after the hold",
        (
            Step(EIGHT),
            Step("a8", EIGHT, HOLD_SECONDS - 1),
            Step("a8", EIGHT, 1),
            Step("a8"),
        ),
    ),
    ListCase(
        "most vanish and come back, which ends the hold",
        (
            Step(EIGHT),
            Step("a8", EIGHT, HOLD_SECONDS - 1),
            Step(EIGHT, EIGHT, HOLD_SECONDS),
            Step("a8", EIGHT),
        ),
    ),
    ListCase(
        "most vanish bit by bit",
        (
            Step(EIGHT),
            Step("a4 a5 a6 a7 a8"),
            Step("a6 a7 a8", "a4 a5 a6 a7 a8"),
            Step("a8", "a4 a5 a6 a7 a8"),
        ),
    ),
    ListCase(
        "a slow rolling replacement is believed",
        (
            Step("a1 a2 a3", later=HOLD_SECONDS),
            Step("a2 a3 a4", later=HOLD_SECONDS),
            Step("a3 a4 a5", later=HOLD_SECONDS),
            Step("a4 a5 a6"),
        ),
    ),
    ListCase(
        "those that announced it may leave together",
        (Step("a1 a2 a3 a4"), Step("a1! a2! a3! a4"), Step("a4")),
    ),
    ListCase(
        "one service is judged apart from the others",
        (Step(EIGHT + " b1 b2 b3"), Step(EIGHT, EIGHT + " b1 b2 b3")),
    ),
    ListCase(
        "losses of two services do not add up",
        (Step("a1 a2 a3 b1 b2 b3"), Step("a1 a2 b1 b2")),
    ),
    ListCase(
        "an empty list is never believed",
        (
            Step("a1 a2"),
            Step("", "a1 a2", 10 * HOLD_SECONDS),
            Step("", "a1 a2"),
        ),
    ),
    ListCase(
        "an outage keeps the last list",
        (Step("a1 a2"), Step(None, "a1 a2", 1000), Step(None, "a1 a2")),
    ),
    ListCase(
        "an outage right after a mass leaving ends no hold",
        (
            Step(EIGHT),
            Step("a8", EIGHT),
            Step(None, EIGHT, 2 * HOLD_SECONDS),
            Step(None, EIGHT),
            Step("a8"),
        ),
    ),
    ListCase("an outage at the start", (Step(None, ""), Step("a1"))),
    ListCase(
        "a lagging list brings one back",
        (Step("a1 a2 a3"), Step("a1 a2"), Step("a1 a2 a3")),
    ),
)


def make_directory(host_list: MemoryHostList) -> HostDirectory:
    settings = default_settings(
        platform={
            "host_list": {
                "poll_seconds": POLL_SECONDS,
                "shrink_hold_seconds": HOLD_SECONDS,
            }
        }
    )
    return HostDirectory(settings, host_list, Metrics())


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
async def test_belief(autojump_clock, case):
    host_list = MemoryHostList()
    directory = make_directory(host_list)
    for number, step in enumerate(case.steps):
        host_list.outage = step.listed is None
        host_list.hosts = [target(name) for name in (step.listed or "").split()]
        await directory.poll()
        names = step.listed if step.believed is None else step.believed
        wanted = {target(name) for name in names.split()}
        assert set(directory.targets()) == wanted, f"step {number}"
        await trio.sleep(step.later)


async def test_run_tells_changes_and_age(autojump_clock, nursery):
    host_list = MemoryHostList([target("a1"), target("a2"), target("a3")])
    directory = make_directory(host_list)
    changes = []
    directory.on_change(changes.append)
    await nursery.start(directory.run)
    host_list.publish([target("a1!"), target("a3"), target("b1")], 4)
    await trio.sleep(3.5)
    assert len(changes) == 1
    await trio.sleep(1)
    assert changes[1].added == [target("b1")]
    assert changes[1].updated == [target("a1!")]
    assert changes[1].removed == [target("a2")]
    await trio.sleep(REPEAT_SECONDS)
    # Callbacks are also called when the list is read again unchanged.
    assert [change.empty for change in changes] == [False, False, True]
    host_list.outage = True
    await trio.sleep(10)
    assert len(changes) == 3
    assert 10 < directory.age_seconds() < 11
    assert directory.fetches.get({"result": "unavailable"}) == 10
