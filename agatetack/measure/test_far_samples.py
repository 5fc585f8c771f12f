"""Test that a group gets the samples of all other groups in few messages.

All other groups of a large fleet send to each group several times a second, and
reading a message costs each of its hosts as much as starting a request.
"""

import pytest
import trio

from agatetack.generated.measure.ttypes import LoadSample, LoadSamples
from agatetack.ids import HostId
from agatetack.measure.far_samples import (
    MAX_SAMPLES,
    RELAY_INTERVAL_SECONDS,
    FarSampleRelay,
)
from agatetack.peers.exchange import NoExchange, Scope, Topic
from agatetack.thrift_codec import decode

OWN_GROUP = ("leader", "near")
FAR = HostId("far")


class GroupExchange(NoExchange):
    """The exchange of one host in a group; records what it publishes."""

    def __init__(self, leads=True):
        super().__init__()
        self.leads = leads
        self.published = []

    @property
    def is_first_leader(self):
        return self.leads

    def group_hosts(self):
        return tuple(map(HostId, OWN_GROUP))

    def publish(self, topic, payload, scope=Scope.ALL):
        assert topic is Topic.LOAD_SAMPLES
        assert scope is Scope.NEAR
        self.published.append(decode(LoadSamples, payload).samples)


def sample(target, **fields):
    return LoadSample(target=target, in_flight=1, **fields)


async def gather(exchange, told, nursery):
    """Receive the samples of `told`, 10 ms apart; return what is relayed."""
    relay = FarSampleRelay(exchange)
    nursery.start_soon(relay.run)
    for sender, received in told:
        relay.collect(HostId(sender), [received])
        await trio.sleep(0.01)
    await trio.sleep(2 * RELAY_INTERVAL_SECONDS)
    return exchange.published


@pytest.mark.parametrize(
    ("leads", "told", "passed_on"),
    [
        # The latest of each target, all in one message.
        (
            True,
            [("far", sample(1)), ("other", sample(2)), ("far", sample(1))],
            [[1, 2]],
        ),
        # All hosts of a group receive each other's messages.
        (True, [("near", sample(1))], []),
        (False, [("far", sample(1))], []),
    ],
)
async def test_the_first_leader_passes_on_what_other_groups_tell(
    autojump_clock, nursery, leads, told, passed_on
):
    published = await gather(GroupExchange(leads), told, nursery)
    targets = [[each.target for each in message] for message in published]
    assert targets == passed_on


async def test_many_samples_go_in_several_messages(autojump_clock, nursery):
    exchange = GroupExchange()
    relay = FarSampleRelay(exchange)
    nursery.start_soon(relay.run)
    relay.collect(FAR, [sample(number) for number in range(MAX_SAMPLES + 1)])
    await trio.sleep(2 * RELAY_INTERVAL_SECONDS)
    assert [len(message) for message in exchange.published] == [MAX_SAMPLES, 1]


# Guards against requests to a target that other groups know to be cold.
@pytest.mark.parametrize(("warm_up_ms", "at_once"), [(900, True), (0, False)])
async def test_that_a_target_is_cold_is_passed_on_at_once(
    autojump_clock, nursery, warm_up_ms, at_once
):
    exchange = GroupExchange()
    relay = FarSampleRelay(exchange)
    nursery.start_soon(relay.run)
    await trio.sleep(1)
    relay.collect(FAR, [sample(1, warm_up_ms=warm_up_ms)])
    await trio.sleep(0.001)
    assert bool(exchange.published) is at_once
    await trio.sleep(2 * RELAY_INTERVAL_SECONDS)
    assert len(exchange.published) == 1


@pytest.mark.parametrize(
    ("fields", "aged"),
    [
        ({}, {"age_ms": 250}),
        ({"age_ms": 40}, {"age_ms": 290}),
        ({"warm_up_ms": 0, "said_ms": 5}, {"said_ms": 255}),
        ({"rate": 1.5}, {"rate": 1.5, "rate_said_ms": 250}),
        ({"slowness_pct": 300, "service_us": 7}, {"slowness_pct": 300}),
    ],
)
async def test_what_waited_is_as_old_as_it_is(
    autojump_clock, nursery, fields, aged
):
    exchange = GroupExchange()
    [[relayed]] = await gather(
        exchange, [("far", sample(1, **fields))], nursery
    )
    for name, value in aged.items():
        assert getattr(relayed, name) == pytest.approx(value)
    assert relayed.service_us == fields.get("service_us")


# Guards against one message for each other group in each interval.
async def test_a_group_hears_of_all_others_four_times_a_second(
    autojump_clock, nursery
):
    exchange = GroupExchange()
    relay = FarSampleRelay(exchange)
    nursery.start_soon(relay.run)
    seconds, groups = 10, 15
    for step in range(seconds * 4):
        for group in range(groups):
            relay.collect(FAR, [sample(group, age_ms=step)])
            await trio.sleep(0.25 / groups)
    assert len(exchange.published) <= seconds / RELAY_INTERVAL_SECONDS
