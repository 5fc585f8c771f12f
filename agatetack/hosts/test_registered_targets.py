"""Test which registered targets are used, through outages of the store."""

import pytest
import trio

from agatetack.hosts.host_list import HostState
from agatetack.hosts.registered_targets import RegisteredTargets
from agatetack.ids import LogOffset
from agatetack.keyed.topic import KeyedRecord
from agatetack.metrics import Metrics
from agatetack.platform.registrations import ServerDecoder
from agatetack.settings.defaults import default_settings
from agatetack.testing.server_entry import server_entry as entry

DOUBT_SECONDS = 2.0

READY = entry()
DRAINING = entry(sequence=2, state="draining")


class TargetsHarness:
    """The targets of one host, and the last list passed to its listener."""

    def __init__(self):
        settings = default_settings(
            platform={"store": {"doubt_seconds": DOUBT_SECONDS}}
        )
        self.listed = ()
        self.targets = RegisteredTargets(
            settings, ServerDecoder(), self.listen, Metrics()
        )
        self.targets.apply_all([])
        self.targets.note_reachable()

    def listen(self, targets):
        self.listed = targets

    def new(self, **records):
        self.targets.apply_new(
            [KeyedRecord(k, v, LogOffset(0)) for k, v in records.items()]
        )

    def all(self, **records):
        self.targets.apply_all(
            [KeyedRecord(k, v, LogOffset(0)) for k, v in records.items()]
        )

    def sound(self, **records):
        self.targets.apply_confirmed(
            [KeyedRecord(k, v, LogOffset(0)) for k, v in records.items()],
            whole=False,
        )

    @property
    def ids(self):
        return {target.id for target in self.listed}


async def run_steps(steps):
    harness = TargetsHarness()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(harness.targets.run)
        await trio.sleep(DOUBT_SECONDS + 1)
        for step in steps:
            if isinstance(step, float):
                await trio.sleep(step)
            elif step == "lost":
                harness.targets.note_unreachable()
            elif step == "back":
                harness.targets.note_reachable()
            elif step[0] == "all":
                harness.all(**step[1])
            elif step[0] == "sound":
                harness.sound(**step[1])
            else:
                harness.new(**step[1])
        await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    return harness


def new(**records):
    return ("new", records)


def sound(**records):
    return ("sound", records)


def everything(**records):
    return ("all", records)


@pytest.mark.parametrize(
    ("steps", "believed"),
    [
        ([new(a=READY, b=READY)], {"a", "b"}),
        # A removal applies at once while the store is reachable.
        ([new(a=READY, b=READY), new(a=None)], {"b"}),
        ([new(a=READY, b=READY), everything(b=READY)], {"b"}),
        # Targets that disappear in an outage stay until some time after it.
        ([new(a=READY), "lost", everything(), 60.0], {"a"}),
        ([new(a=READY), "lost", everything(), "back", 1.0], {"a"}),
        ([new(a=READY), "lost", everything(), "back", 2.5], set()),
        ([new(a=READY), "lost", "back", new(a=None), 1.0], {"a"}),
        ([new(a=READY), "lost", "back", new(a=None), 2.5], set()),
        (
            [
                new(a=READY),
                "lost",
                everything(),
                "back",
                1.0,
                new(a=READY),
                9.0,
            ],
            {"a"},
        ),
        # Removals from a peer that could reach the store all along apply at
        # once, even for targets that are doubted here.
        ([new(a=READY), "lost", sound(a=None)], set()),
        ([new(a=READY), "lost", new(a=None), sound(a=None)], set()),
        ([new(a=READY, b=READY), "lost", sound(b=None), new(a=None)], {"a"}),
        # A target that was leaving is not doubted.
        ([new(a=READY), new(a=DRAINING), "lost", everything()], set()),
        # Each outage restarts the doubt period.
        (
            [
                new(a=READY),
                "lost",
                everything(),
                "back",
                1.0,
                "lost",
                60.0,
                "back",
                1.0,
            ],
            {"a"},
        ),
        ([new(a=READY, b=b"junk")], {"a"}),
        # A malformed record removes the target registered under its key.
        ([new(a=READY, b=READY), new(b=b"junk")], {"a"}),
        ([new(a=READY), new(a=b"junk"), new(a=READY)], {"a"}),
        ([new(a=READY), "lost", everything(a=b"junk")], set()),
    ],
)
async def test_which_targets_are_believed(autojump_clock, steps, believed):
    assert (await run_steps(steps)).ids == believed


async def test_a_change_of_state_is_told(autojump_clock):
    harness = await run_steps([new(a=READY), new(a=DRAINING)])
    assert [target.state for target in harness.listed] == [HostState.LEAVING]


@pytest.mark.parametrize(
    ("steps", "incarnation", "state"),
    [
        ([entry(1000), entry(2000)], 2000, HostState.LIVE),
        # Its sequence numbers restart with the process.
        ([entry(1000, 9), entry(2000, 1)], 2000, HostState.LIVE),
        # A registration from before its last start, or before its last report,
        # is ignored when it arrives late.
        ([entry(2000), entry(1000, 9, "draining")], 2000, HostState.LIVE),
        (
            [entry(2000, 3, "draining"), entry(2000, 2)],
            2000,
            HostState.LEAVING,
        ),
        (
            [entry(1000, 7, "draining"), entry(2000, 1)],
            2000,
            HostState.LIVE,
        ),
        # Without an incarnation, the registration received last applies.
        ([entry(0, 9), entry(0, 1, "draining")], 0, HostState.LEAVING),
    ],
)
async def test_what_a_target_said_last_holds(
    autojump_clock, steps, incarnation, state
):
    harness = await run_steps([new(a=step) for step in steps])
    assert [(t.incarnation, t.state) for t in harness.listed] == [
        (incarnation, state)
    ]


@pytest.mark.parametrize(
    ("steps", "incarnations"),
    [
        ([new(a=entry(2000)), new(a=None), new(a=entry(1000, 9))], []),
        ([new(a=entry(2000)), everything(), new(a=entry(1000, 9))], []),
        ([new(a=entry(2000)), new(a=b"junk"), new(a=entry(1000, 9))], []),
        ([new(a=entry(2000)), new(a=None), new(a=entry(2000, 2))], [2000]),
        ([new(a=entry(2000)), new(a=None), new(a=entry(3000))], [3000]),
        # Without a time of birth, nothing tells which of the two is older.
        ([new(a=entry(2000)), new(a=None), new(a=entry(0))], [0]),
        ([new(a=entry(2000)), "lost", everything(a=entry(1000))], [2000]),
    ],
)
async def test_an_older_process_does_not_come_back(
    autojump_clock, steps, incarnations
):
    """Guards against requests to a process that ended before the last one."""
    harness = await run_steps(steps)
    assert [each.incarnation for each in harness.listed] == incarnations
