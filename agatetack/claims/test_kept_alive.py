"""Test that keys are re-appended in time, however briefly hosts run."""

import pytest
import trio
from returns.result import Success

from agatetack.claims.conftest import ClaimFleet
from agatetack.ids import HostId, WallTime

RETENTION_SECONDS = 50


def new_fleet(nursery):
    fleet = ClaimFleet(
        nursery, key_window_seconds=20, undated_window_seconds=400
    )
    fleet.platform["log"]["retention_seconds"] = RETENTION_SECONDS
    nursery.start_soon(drop_old_records, fleet.log)
    return fleet


async def drop_old_records(log):
    while True:
        await trio.sleep(0.5)
        log.expire(WallTime(log.clock.wall() - RETENTION_SECONDS))


def stop(fleet, number):
    fleet.scopes[number].cancel()
    fleet.mesh.leave(HostId(f"h{number}"))


async def use_keys(fleet):
    """Finish one key, hold another, and stop the host that did so."""
    store = await fleet.add()
    await store.finish((await fleet.claim(store, key="done")).unwrap(), 201)
    await fleet.claim(store, key="held")
    await trio.sleep(0.5)
    stop(fleet, 0)


async def assert_known(fleet):
    """Check that a host that starts now knows that the keys were used."""
    store = await fleet.add()
    for key in ("done", "held"):
        assert not isinstance(await fleet.claim(store, key=key), Success)
    assert isinstance(await fleet.claim(store, key="other"), Success)


# Guards against a second run of a key when each host runs too briefly to
# re-append it on schedule.
@pytest.mark.parametrize("hosts", [1, 8])
@pytest.mark.parametrize("live_seconds", [0.3, 0.9, 1.1, 5, 20])
async def test_keys_outlive_all_hosts(
    autojump_clock, nursery, live_seconds, hosts
):
    fleet = new_fleet(nursery)
    await use_keys(fleet)
    end = trio.current_time() + 2 * RETENTION_SECONDS
    while trio.current_time() < end:
        first = len(fleet.scopes)
        for _ in range(hosts):
            await fleet.add()
        await trio.sleep(live_seconds)
        for number in range(first, first + hosts):
            stop(fleet, number)
    await assert_known(fleet)


# Guards against a second run of a key when all hosts were lost and new ones
# start shortly before retention drops its records.
@pytest.mark.parametrize("hosts", [1, 8])
@pytest.mark.parametrize("left_seconds", [0.3, 0.8, 1.2, 5, 20])
async def test_keys_outlive_the_loss_of_all_hosts(
    autojump_clock, nursery, left_seconds, hosts
):
    fleet = new_fleet(nursery)
    await use_keys(fleet)
    await trio.sleep(RETENTION_SECONDS - left_seconds - trio.current_time())
    for _ in range(hosts):
        await fleet.add()
    await trio.sleep(2 * RETENTION_SECONDS / 3)
    await assert_known(fleet)


# Guards against a second run of a key that could not be re-appended until an
# outage of the log ended.
@pytest.mark.parametrize("left_seconds", [0.4, 1, 3])
@pytest.mark.parametrize("seconds", [2, 10, 24])
async def test_keys_outlive_an_outage(
    autojump_clock, nursery, seconds, left_seconds
):
    fleet = new_fleet(nursery)
    await use_keys(fleet)
    away_at = RETENTION_SECONDS - left_seconds - seconds
    await trio.sleep(away_at - trio.current_time())
    fleet.log.faults.outage = True
    for _ in range(8):
        await fleet.add()
    await trio.sleep(seconds - 8 * 0.05)
    fleet.log.faults.outage = False
    await trio.sleep(RETENTION_SECONDS / 2)
    await assert_known(fleet)
