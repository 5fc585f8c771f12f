"""Measure what probes, load reports and samples cost a gateway."""

import time
from collections.abc import Iterator

import absl.logging
import trio

from agatetack.ids import Deadline, FailureDomain, HostId
from agatetack.measure.budget import TokenBucket
from agatetack.measure.http_probe import HttpProbe
from agatetack.measure.samples import (
    FRAME_BYTES,
    MAX_SAMPLES,
    SampleExchange,
)
from agatetack.metrics import Metrics
from agatetack.peers.exchange import NoExchange, Peer, Scope, Topic
from agatetack.settings.defaults import default_settings
from agatetack.targets.registry import LeavingSign, TargetRegistry
from agatetack.targets.state import LoadReport, ReportSource, TargetState
from agatetack.testing.targets import listed_target
from bench.capacity.slopes import Slope, new_slope
from bench.datapath.__main__ import started

COMMAND = "python -m bench.capacity measure measuring"
PROBES = 1000
ROUNDS = 300
UNBOUNDED = 1e9


class RecordingExchange(NoExchange):
    """One peer; keeps what is published and who listens."""

    def __init__(self) -> None:
        """Start with nothing published."""
        self.published: list[bytes] = []
        self.handlers = {}

    def publish(
        self, topic: Topic, payload: bytes, scope: Scope = Scope.ALL
    ) -> None:
        """Keep the message."""
        self.published.append(payload)

    def subscribe(self, topic: Topic, handler) -> None:
        """Keep the handler."""
        self.handlers[topic] = handler

    def live_peers(self) -> tuple[Peer, ...]:
        """Return one peer."""
        return (Peer(HostId("peer"), 1, FailureDomain("domain-a"), False),)


async def probe_costs(port: int) -> tuple[float, float]:
    """Return the bytes and the processor microseconds of one probe."""
    client = HttpProbe(default_settings())
    target = TargetState(
        f"127.0.0.1:{port}", "bench", "127.0.0.1", port, "domain-a"
    )
    used = 0
    begun = time.process_time()
    for _ in range(PROBES):
        deadline = Deadline(trio.current_time() + 1)
        answer = (await client.probe(target, deadline, 1024)).unwrap()
        used += answer.used_bytes
    seconds = time.process_time() - begun
    return used / PROBES, seconds / PROBES * 1e6


class Samples:
    """One host that tells its load reports to one peer and hears its."""

    def __init__(self) -> None:
        """Make as many targets as one message holds."""
        metrics = Metrics()
        self.registry = TargetRegistry(default_settings(), metrics)
        self.exchange = RecordingExchange()
        bucket = TokenBucket(UNBOUNDED, lambda: 1, UNBOUNDED)
        # A bucket earns nothing in its first seconds.
        bucket.tokens = UNBOUNDED
        self.sharing = SampleExchange(
            self.registry, self.exchange, metrics, bucket
        )
        self.registry.update([listed_target(n) for n in range(MAX_SAMPLES)])

    def reports(self) -> Iterator[tuple[TargetState, LoadReport]]:
        """Yield one new report for each target."""
        now = Deadline(trio.current_time())
        for target in self.registry.by_id.values():
            target.learned.service_seconds = 0.004
            yield target, LoadReport(3, 2, 1, now, ReportSource.ANSWER)

    def report_us(self) -> float:
        """Return the processor time of taking one report."""
        seconds = 0.0
        for _ in range(ROUNDS):
            reports = list(self.reports())
            begun = time.process_time()
            for target, report in reports:
                self.registry.note_report(target, report)
            seconds += time.process_time() - begun
        return seconds / ROUNDS / MAX_SAMPLES * 1e6

    def send_us(self) -> float:
        """Return the processor time of sending one sample, fully batched."""
        targets = list(self.registry.by_id.values())
        begun = time.process_time()
        for _ in range(ROUNDS):
            self.sharing._send(targets, 1, 0)
        seconds = time.process_time() - begun
        if len(self.exchange.published) < ROUNDS:
            raise ValueError("the budget held samples back")
        return seconds / ROUNDS / MAX_SAMPLES * 1e6

    def take_us(self) -> float:
        """Return the processor time of taking one sample of a peer."""
        handler = self.exchange.handlers[Topic.LOAD_SAMPLES]
        payload = self.exchange.published[-1]
        begun = time.process_time()
        for _ in range(ROUNDS):
            handler(HostId("peer"), payload)
        seconds = time.process_time() - begun
        return seconds / ROUNDS / MAX_SAMPLES * 1e6

    def sample_bytes(self) -> float:
        """Return the bytes of one sample, fully batched, with the frame."""
        length = len(self.exchange.published[-1]) + FRAME_BYTES
        return length / MAX_SAMPLES


class Signs(Samples):
    """One host that sees targets leave and hears a peer see the same."""

    def see_us(self) -> float:
        """Return the processor time of seeing one target leave."""
        targets = list(self.registry.by_id.values())
        begun = time.process_time()
        for target in targets:
            self.registry.note_leaving(target, LeavingSign.CONNECT_REFUSED)
        return (time.process_time() - begun) / len(targets) * 1e6

    def hear_us(self) -> float:
        """Return the processor time of hearing of it once more."""
        handler = self.exchange.handlers[Topic.TARGET_SIGNS]
        payloads = list(self.exchange.published)
        begun = time.process_time()
        for payload in payloads:
            handler(HostId("peer"), payload)
        return (time.process_time() - begun) / len(payloads) * 1e6

    def sign_bytes(self) -> float:
        """Return the bytes of one sign, with the frame."""
        return len(self.exchange.published[-1]) + FRAME_BYTES


async def sign_slopes() -> list[Slope]:
    """Return the slopes of signs that a target is leaving."""
    signs = Signs()
    see = signs.see_us()
    return [
        new_slope(
            "sign_see_us",
            see,
            "processor time of a target seen leaving, told to peers",
            COMMAND,
        ),
        new_slope(
            "sign_hear_us",
            signs.hear_us(),
            "processor time of a peer's sign, without its frame",
            COMMAND,
        ),
        new_slope(
            "sign_bytes",
            signs.sign_bytes(),
            "bytes of one sign to one peer, with the frame",
            COMMAND,
        ),
    ]


async def sample_slopes() -> list[Slope]:
    """Return the slopes of reports and samples."""
    samples = Samples()
    report = samples.report_us()
    send = samples.send_us()
    return [
        new_slope(
            "report_us", report, "processor time of one load report", COMMAND
        ),
        new_slope(
            "sample_send_us",
            send,
            "processor time of telling a peer one load, 32 in a message",
            COMMAND,
        ),
        new_slope(
            "sample_take_us",
            samples.take_us(),
            "processor time of taking one such load from a peer",
            COMMAND,
        ),
        new_slope(
            "sample_bytes",
            samples.sample_bytes(),
            "bytes of one such load, with its share of the frame",
            COMMAND,
        ),
    ]


def measure() -> list[Slope]:
    """Return the slopes of measuring."""
    # Lines of the log would cost more than what they tell of.
    absl.logging.set_verbosity(absl.logging.ERROR)
    with started("target") as target:
        size, cpu = trio.run(probe_costs, target.port)
    return [
        new_slope(
            "probe_bytes", size, "bytes of one probe, both ways", COMMAND
        ),
        new_slope(
            "probe_us", cpu, "processor time of one probe at a gateway", COMMAND
        ),
        *trio.run(sample_slopes),
        *trio.run(sign_slopes),
    ]
