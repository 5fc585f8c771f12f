"""Test that hosts keep up with a store that came back from an older copy."""

import pytest
import trio

from agatetack.testing.memory_store import MemoryStore
from agatetack.testing.memory_topic import NAME
from agatetack.testing.topic_fleet import expected, fill, start_readers

KNOWN_SECONDS = 2.0
"""In which each change has to be known at every host."""

LOST = 3
"""Records that the store acknowledged after the copy was made."""


# Guards against hosts that take no change once the store gives offsets again.
@pytest.mark.parametrize("hosts", [2, 14, 99])
@pytest.mark.parametrize(
    "appended",
    [LOST - 2, LOST, LOST + 2],
    ids=["end-below", "end-equal", "end-above"],
)
async def test_changes_are_known_after_the_store_lost_records(
    autojump_clock, hosts, appended
):
    store = MemoryStore()
    fill(store, 5)
    async with trio.open_nursery() as nursery:
        _, fleet = await start_readers(nursery, store, hosts)
        copy = store.copy()
        for number in range(LOST):
            store.append(NAME, f"k{number}", b"lost")
        await trio.sleep(KNOWN_SECONDS)
        assert all(host.kept.values == expected(store) for host in fleet)
        store.restore(copy)
        for number in range(appended):
            store.append(NAME, f"n{number}", b"new")
        await trio.sleep(KNOWN_SECONDS)
        assert all(host.kept.values == expected(store) for host in fleet)
        store.append(NAME, "k0", b"next")
        await trio.sleep(KNOWN_SECONDS)
        assert all(host.kept.values == expected(store) for host in fleet)
        nursery.cancel_scope.cancel()
