"""Test which registrations of hosts are taken from the store."""

import json

import hypothesis
import pytest
import trio
from hypothesis import strategies as st

from agatetack.hosts.member_directory import MemberDirectory
from agatetack.ids import LogOffset
from agatetack.keyed.generations import StoreGenerations
from agatetack.keyed.topic import KeyedRecord
from agatetack.metrics import Metrics
from agatetack.settings.defaults import default_settings
from agatetack.testing.memory_store import MemoryStore
from agatetack.testing.memory_topic import MemoryTopic


def member(**fields):
    sound = {"ip": "127.0.0.9", "port": 1, "failure_domain": "zone-a"}
    return json.dumps({**sound, **fields}).encode()


MEMBER = member()


def record(key, value):
    return KeyedRecord(key, value, LogOffset(0))


def make_members():
    metrics = Metrics()
    topic = MemoryTopic(MemoryStore(), StoreGenerations(metrics))
    return MemberDirectory(default_settings(), topic, metrics)


# Guards against a record in the store that ends every host that reads it.
@pytest.mark.parametrize(
    ("key", "content"),
    [
        pytest.param("h1", b'{"x":' + b"[" * 3000, id="nested too deeply"),
        pytest.param("h1", b"\xff", id="not text"),
        pytest.param("h1", b"[]", id="not an object"),
        pytest.param("h 1", MEMBER, id="no host's name"),
        pytest.param("h1", member(ip="store.example"), id="name, no address"),
        pytest.param("h1", member(ip="127.0.0.9\0"), id="address with a NUL"),
        pytest.param("h1", member(ip=""), id="no address"),
        pytest.param("h1", member(port=0), id="port 0"),
        pytest.param("h1", member(port=65536), id="port too high"),
        pytest.param("h1", member(port=2**70), id="port of 70 bits"),
    ],
)
async def test_a_malformed_registration_is_left_out(key, content):
    members = make_members()
    members.apply_new([record(key, content), record("h2", MEMBER)])
    assert list(members.hosts) == ["h2"]


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(
    key=st.text(max_size=4).filter(lambda key: key != "h2"),
    fields=st.dictionaries(
        st.sampled_from(["ip", "port", "failure_domain", "x"]),
        st.none()
        | st.integers()
        | st.floats()
        | st.text()
        | st.lists(st.none()),
    ),
    raw=st.none() | st.binary(max_size=60),
)
def test_any_registration_leaves_the_others(key, fields, raw):
    """Guards against values that end a host or hide another one."""
    content = member(**fields) if raw is None else raw

    async def main():
        members = make_members()
        for apply in (members.apply_new, members.apply_all):
            apply([record(key, content), record("h2", MEMBER)])
            assert "h2" in members.hosts
            assert members.hosts.keys() <= {"h2", key}
        members.register_other(key, content)

    trio.run(main)
