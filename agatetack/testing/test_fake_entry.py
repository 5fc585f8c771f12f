"""Test the stand-in of the platform's entry against what its pages say."""

import pytest
import trio

from agatetack.testing.fake_entry import EntryHost, FakeEntry

NEAR = {"a": ("b", "c"), "b": ("a", "c"), "c": ("b", "a")}


def make_entry(misses, ask=None):
    """Return an entry whose hosts, named by domain and number, missed some."""
    hosts = [
        EntryHost(name, name[0], misses=missed)
        for name, missed in misses.items()
    ]
    return FakeEntry(hosts, NEAR, ask)


@pytest.mark.parametrize(
    ("misses", "found"),
    [
        pytest.param({"a1": 0, "a2": 0, "b1": 0}, {"a1", "a2"}, id="all"),
        pytest.param({"a1": 0, "a2": 1, "b1": 0}, {"a1", "a2"}, id="one miss"),
        pytest.param({"a1": 0, "a2": 2, "b1": 0}, {"a1"}, id="half"),
        pytest.param(
            {"a1": 0, "a2": 2, "a3": 2, "b1": 0},
            {"a1", "a2", "a3"},
            id="less than half",
        ),
        pytest.param(
            {"a1": 2, "a2": 2, "b1": 0, "c1": 0}, {"b1"}, id="none: the nearest"
        ),
        pytest.param(
            {"a1": 2, "b1": 2, "c1": 0, "c2": 3}, {"c1"}, id="the next nearest"
        ),
        pytest.param({"a1": 2, "a2": 2, "b1": 2}, {"a1", "a2"}, id="nobody"),
    ],
)
def test_who_gets_new_connections(misses, found):
    entry = make_entry(misses)
    assert {host.id for host in entry.candidates("a")} == found


def test_a_client_stays_with_its_host_and_clients_spread():
    entry = make_entry({f"a{n}": 0 for n in range(4)})
    chosen = {f"c{n}": entry.choose(f"c{n}", "a").id for n in range(100)}
    assert set(chosen.values()) == {host.id for host in entry.hosts}
    assert all(entry.choose(c, "a").id == host for c, host in chosen.items())


@pytest.mark.parametrize(
    ("answers", "after", "in_rotation"),
    [
        pytest.param([True, True], 1.5, True, id="ready"),
        pytest.param([False, True], 0.5, True, id="one miss"),
        pytest.param([False, False, True], 1.5, False, id="two misses"),
        pytest.param([False, False, True], 2.5, True, id="back at once"),
        pytest.param([None, None, None], 2.5, False, id="silent"),
    ],
)
async def test_hosts_are_asked_each_second(
    autojump_clock, answers, after, in_rotation
):
    left = list(answers)

    async def ask(host):
        answer = left.pop(0) if left else True
        if answer is None:
            await trio.sleep_forever()
        return answer

    entry = make_entry({"a1": 0}, ask)
    with trio.move_on_after(after):
        await entry.run()
    assert entry.hosts[0].in_rotation is in_rotation
