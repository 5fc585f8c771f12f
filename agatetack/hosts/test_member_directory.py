"""Test which registrations of hosts are taken from the store."""

import json

import pytest

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
