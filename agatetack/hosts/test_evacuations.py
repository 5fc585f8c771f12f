"""Test which domains are evacuated for each way that records arrive."""

import pytest

from agatetack.hosts.evacuations import Evacuations
from agatetack.keyed.topic import KeyedRecord
from agatetack.metrics import Metrics
from agatetack.platform.configuration import EvacuationKeyParser


def begun(domain, offset=1):
    return KeyedRecord(f"evacuate/{domain}", b"{}", offset)


def over(domain, offset=2):
    return KeyedRecord(f"evacuate/{domain}", None, offset)


CONFIG = KeyedRecord("config", b"{}", 1)


@pytest.mark.parametrize(
    ("steps", "evacuated"),
    [
        ([], ""),
        ([("new", [CONFIG])], ""),
        ([("new", [begun("a")])], "a"),
        ([("all", [CONFIG, begun("a")])], "a"),
        ([("new", [begun("a"), over("a")])], ""),
        ([("new", [begun("a"), over("a"), begun("a", 3)])], "a"),
        ([("new", [begun("a")]), ("new", [over("a")])], ""),
        # Received twice, or ended before it was received.
        ([("new", [begun("a")]), ("new", [begun("a")])], "a"),
        ([("new", [over("a")]), ("new", [])], ""),
        # Two at the same time, one of which ends.
        ([("new", [begun("a"), begun("b")]), ("new", [over("a", 3)])], "b"),
        # Other records have no effect.
        ([("new", [begun("a")]), ("new", [CONFIG])], "a"),
        # The removal was dropped before this host read it.
        ([("new", [begun("a")]), ("all", [CONFIG])], ""),
        ([("new", [begun("a")]), ("all", [CONFIG, begun("a")])], "a"),
        # Any value counts; malformed keys do not.
        ([("new", [KeyedRecord("evacuate/a", b"\xff", 1)])], "a"),
        ([("new", [KeyedRecord("evacuate/", b"{}", 1)])], ""),
        ([("new", [KeyedRecord("evacuate", b"{}", 1)])], ""),
    ],
)
def test_what_is_evacuated_after_records(steps, evacuated):
    calls = []
    evacuations = Evacuations(EvacuationKeyParser(), calls.append, Metrics())
    for kind, records in steps:
        take = evacuations.apply_all if kind == "all" else evacuations.apply_new
        take(records)
    assert "".join(sorted(evacuations.domains)) == evacuated
    # The listener is called once per change.
    assert all(a != b for a, b in zip(calls, calls[1:], strict=False))
    assert (calls[-1] if calls else frozenset()) == evacuations.domains
