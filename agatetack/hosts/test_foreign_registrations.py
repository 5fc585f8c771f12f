"""Test entries of targets that another writer left in the store."""

import copy
import json

import hypothesis
import pytest
import trio
from hypothesis import strategies as st

from agatetack.hosts.registered_targets import RegisteredTargets
from agatetack.ids import LogOffset
from agatetack.keyed.topic import KeyedRecord
from agatetack.metrics import Metrics
from agatetack.platform.registrations import ServerDecoder
from agatetack.settings.defaults import default_settings
from agatetack.targets.registry import TargetRegistry
from agatetack.testing.server_entry import server_entry

FIELDS = json.loads(server_entry())
OBJECTS = [("info",), ("status",)]
TEXTS = [
    ("address",),
    ("info", "service"),
    ("info", "version"),
    ("info", "zone"),
    ("status", "state"),
    ("status", "warmup_left"),
]
NUMBERS = [("born",), ("info", "slots"), ("status", "sequence")]
WRONG = {
    **dict.fromkeys(OBJECTS, (None, True, 7, 2.5, "x", [], {}, [{}])),
    **dict.fromkeys(TEXTS, (None, True, 7, 2.5, "", [], {}, ["x"], "x" * 999)),
    **dict.fromkeys(NUMBERS, (None, True, -1, 2.5, "3", [], {}, 10**30)),
}
"""For each field, values of which none is valid."""

OPTIONAL = {("born",)}


def changed(path, change):
    """Return an entry with one field changed by `change(parent, name)`."""
    fields = copy.deepcopy(FIELDS)
    parent = fields
    for name in path[:-1]:
        parent = parent[name]
    change(parent, path[-1])
    return json.dumps(fields).encode()


def without(path):
    return changed(path, lambda parent, name: parent.pop(name))


def with_value(path, value):
    return changed(path, lambda parent, name: parent.update({name: value}))


MALFORMED = {
    **{
        f"no-{'.'.join(path)}": without(path)
        for path in WRONG
        if path not in OPTIONAL
    },
    **{
        f"{'.'.join(path)}-{number}": with_value(path, value)
        for path, values in WRONG.items()
        for number, value in enumerate(values)
    },
    "unknown-state": server_entry(state="resting"),
    "empty": b"",
    "not-text": b"\xff\xfe\x00",
    "half": server_entry()[:40],
    "two": server_entry() * 2,
    "huge": b'{"x":"' + b"x" * 2_000_000 + b'"}',
    "padded": server_entry() + b" " * 20_000,
    "nested": b'{"x":' + b"[" * 4000 + b"]" * 4000 + b"}",
    "open": b"[" * 100_000,
    "null": b"null",
    "list": b"[" + server_entry() + b"]",
    "text": json.dumps(server_entry().decode()).encode(),
    "other-writer": b'{"host":"10.0.0.1","port":80,"up":true}',
}


class Reader:
    """A reader of registrations, with the registry that it fills."""

    def __init__(self):
        settings = default_settings()
        self.registry = TargetRegistry(settings, Metrics())
        self.targets = RegisteredTargets(
            settings, ServerDecoder(), self.registry.update, Metrics()
        )
        self.targets.apply_all([])

    def new(self, *records):
        self.targets.apply_new(
            [KeyedRecord(k, v, LogOffset(0)) for k, v in records]
        )

    def all(self, *records):
        self.targets.apply_all(
            [KeyedRecord(k, v, LogOffset(0)) for k, v in records]
        )

    @property
    def ids(self):
        return set(self.registry.by_id)


SOUND = server_entry()


# Guards against an entry that ends the reader or hides other targets.
@pytest.mark.parametrize("content", MALFORMED.values(), ids=MALFORMED.keys())
@pytest.mark.parametrize("whole", [False, True], ids=["new", "all"])
async def test_a_malformed_entry_concerns_its_own_key_only(
    autojump_clock, content, whole
):
    reader = Reader()
    take = reader.all if whole else reader.new
    reader.new(("a", SOUND), ("b", SOUND))
    # A key that is not known identifies no target.
    take(("a", SOUND), ("c", content), ("b", SOUND))
    assert reader.ids == {"a", "b"}
    # That of a known target takes it out, and no other one.
    take(("b", content), ("a", SOUND))
    assert reader.ids == {"a"}
    # A sound entry is taken again, from wherever it comes.
    take(("b", SOUND), ("a", SOUND))
    assert reader.ids == {"a", "b"}
    record = KeyedRecord("a", content, LogOffset(0))
    sound = KeyedRecord("a", SOUND, LogOffset(0))
    for pair in ((record, sound), (sound, record), (record, record)):
        assert reader.targets.valid_until(*pair) is None


async def test_a_target_of_an_unknown_service_changes_no_other(autojump_clock):
    """Guards against a target that serves a service that it does not have."""
    reader = Reader()
    reader.new(("a", SOUND), ("b", SOUND))
    reader.new(("b", with_value(("info", "service"), "elsewhere")))
    assert [each.id for each in reader.registry.targets("s")] == ["a"]
    reader.new(("b", SOUND))
    assert [each.id for each in reader.registry.targets("s")] == ["a", "b"]


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=4,
)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    key=st.text(max_size=4),
    path=st.sampled_from(sorted(WRONG)),
    value=VALUES,
    raw=st.none() | st.binary(max_size=60),
)
def test_any_entry_leaves_the_others(key, path, value, raw):
    """Guards against combinations of values that the table lacks."""
    hypothesis.assume(key != "a")
    content = with_value(path, value) if raw is None else raw

    async def main():
        reader = Reader()
        reader.new(("a", SOUND), (key, SOUND))
        reader.new((key, content))
        reader.all((key, content), ("a", SOUND))
        assert "a" in reader.ids
        assert reader.ids <= {"a", key}

    trio.run(main)
