"""Relay the load samples of a large fleet's other groups to this group.

The first leader of a group receives samples from each other group several times
a second. It combines those of all groups in one message for its own group, as
reading a message costs each host more than the samples in it.
"""

import dataclasses
from collections.abc import Sequence

import trio

from agatetack.generated.measure.ttypes import LoadSample, LoadSamples
from agatetack.ids import Deadline, HostId
from agatetack.peers.exchange import Exchange, Scope, Topic
from agatetack.thrift_codec import encode

RELAY_INTERVAL_SECONDS = 0.25
"""How long samples are collected. Targets of other groups get few requests from
this group, and are probed before most of them are sent."""

MAX_SAMPLES = 32
"""Maximum number of samples in one message."""

MS_PER_SECOND = 1000
"""Milliseconds in a second."""


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingSample:
    """A sample that waits to be relayed.

    Attributes:
        sample: The latest sample of a target from another group.
        at: When it was received.
    """

    sample: LoadSample
    at: Deadline


class FarSampleRelay:
    """Collects samples of other groups while this host leads its own.

    Attributes:
        waiting: The latest sample that waits for each target, by target hash.
        waiting_added: Set when there is something in `waiting`.
        urgent: Set when `waiting` has to be relayed at once.
    """

    def __init__(self, exchange: Exchange):
        """Relay through `exchange`."""
        self.exchange = exchange
        self.waiting: dict[int, WaitingSample] = {}
        self.waiting_added = trio.Event()
        self.urgent = trio.Event()

    def collect(self, sender: HostId, samples: Sequence[LoadSample]) -> None:
        """Collect the samples of `sender` if this host has to relay them."""
        exchange = self.exchange
        if not exchange.is_first_leader or sender in exchange.group_hosts():
            return
        now = Deadline(trio.current_time())
        for sample in samples:
            self.waiting[sample.target] = WaitingSample(sample, now)
        if self.waiting:
            self.waiting_added.set()
        # Hosts limit requests to a cold target only once they know it is cold.
        if any(sample.warm_up_ms for sample in samples):
            self.urgent.set()

    async def run(self) -> None:
        """Relay the collected samples until cancelled."""
        while True:
            # An idle host must not wake up at all.
            await self.waiting_added.wait()
            self.waiting_added = trio.Event()
            with trio.move_on_after(RELAY_INTERVAL_SECONDS):
                await self.urgent.wait()
            self.urgent = trio.Event()
            self._relay()

    def _relay(self) -> None:
        now = Deadline(trio.current_time())
        samples = [_aged(each, now) for each in self.waiting.values()]
        self.waiting.clear()
        for first in range(0, len(samples), MAX_SAMPLES):
            message = LoadSamples(samples=samples[first : first + MAX_SAMPLES])
            self.exchange.publish(
                Topic.LOAD_SAMPLES, encode(message), Scope.NEAR
            )


def _aged(waiting: WaitingSample, now: Deadline) -> LoadSample:
    """Return the sample with its ages increased by the time it waited."""
    sample = waiting.sample
    waited_ms = round((now - waiting.at) * MS_PER_SECOND)
    sample.age_ms = (sample.age_ms or 0) + waited_ms
    if sample.warm_up_ms is not None:
        sample.said_ms = (sample.said_ms or 0) + waited_ms
    if sample.rate is not None:
        sample.rate_said_ms = (sample.rate_said_ms or 0) + waited_ms
    return sample
