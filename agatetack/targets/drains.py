"""Share the targets that operators drained among all hosts.

The marks are kept in memory and published to all hosts periodically, so that
hosts that start later receive them too. They are lost only if all hosts are
replaced between two publications.
"""

import dataclasses

import trio

from agatetack.clock import Clock
from agatetack.generated.targets import ttypes
from agatetack.ids import HostId, TargetId
from agatetack.logs import PartLog
from agatetack.metrics import Metrics
from agatetack.peers.exchange import Exchange, Topic
from agatetack.targets.registry import TargetRegistry
from agatetack.thrift_codec import MalformedMessage, decode, encode

PUBLISH_INTERVAL_SECONDS = 5.0
"""Interval at which all marks are published again."""

MARK_RETENTION_MS = 24 * 3600 * 1000
"""Age at which the mark of a target that is no longer drained is dropped."""

log = PartLog("targets")


@dataclasses.dataclass(frozen=True, slots=True)
class DrainMark:
    """Whether an operator drained a target, and when that was set."""

    drained: bool
    set_unix_ms: int


class TargetDrains:
    """The operators' marks; the latest mark of each target wins.

    Attributes:
        marks: The latest mark of each target that was drained, or undrained
            in the last `MARK_RETENTION_MS`.
    """

    def __init__(
        self,
        registry: TargetRegistry,
        exchange: Exchange,
        metrics: Metrics,
        clock: Clock,
    ):
        """Apply marks to `registry` and share them through `exchange`."""
        self.registry = registry
        self.exchange = exchange
        self.metrics = metrics
        self.clock = clock
        self.marks: dict[TargetId, DrainMark] = {}
        exchange.subscribe(Topic.TARGET_DRAINS, self._receive)

    def set(self, target: TargetId, drained: bool) -> None:
        """Drain a target on every host, or allow it new work again."""
        now_ms = int(self.clock.wall() * 1000)
        known = self.registry.by_id.get(target)
        if known is not None:
            # Its clock may be ahead of this host's.
            now_ms = max(now_ms, known.incarnation)
        earlier = self.marks.get(target)
        if earlier is not None:
            now_ms = max(now_ms, earlier.set_unix_ms + 1)
        self._apply(target, DrainMark(drained, now_ms))
        self._publish()

    async def run(self) -> None:
        """Publish all marks periodically; runs until cancelled."""
        while True:
            await trio.sleep(PUBLISH_INTERVAL_SECONDS)
            self._drop_expired()
            if self.marks:
                self._publish()

    def _drop_expired(self) -> None:
        oldest_ms = int(self.clock.wall() * 1000) - MARK_RETENTION_MS
        for target, mark in list(self.marks.items()):
            if not mark.drained and mark.set_unix_ms < oldest_ms:
                del self.marks[target]

    def _publish(self) -> None:
        drains = [
            ttypes.TargetDrain(target, mark.drained, mark.set_unix_ms)
            for target, mark in self.marks.items()
        ]
        payload = encode(ttypes.TargetDrains(drains))
        self.exchange.publish(Topic.TARGET_DRAINS, payload)

    def _receive(self, sender: HostId, payload: bytes) -> None:
        try:
            message = decode(ttypes.TargetDrains, payload)
        except MalformedMessage:
            self.metrics.dropped.inc(
                {"part": "targets", "reason": "malformed-marks"}
            )
            log.warning("The drain marks from %s are malformed.", sender)
            return
        for drain in message.drains:
            mark = DrainMark(drain.drained, drain.set_unix_ms)
            self._apply(TargetId(drain.target), mark)

    def _apply(self, target: TargetId, mark: DrainMark) -> None:
        earlier = self.marks.get(target)
        if earlier is not None and earlier.set_unix_ms >= mark.set_unix_ms:
            return
        self.marks[target] = mark
        if earlier is None or earlier.drained != mark.drained:
            self.registry.set_drained(target, mark.drained, mark.set_unix_ms)
            action = "drained" if mark.drained else "undrained"
            log.info("An operator %s target %s.", action, target)
