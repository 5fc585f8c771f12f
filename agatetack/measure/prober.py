"""Probe targets, within the budget, where a report can change a choice."""

import random

import trio
from returns.result import Result, Success

from agatetack.balance.target_share import TargetShare, UnlimitedShare
from agatetack.clock import Lateness
from agatetack.ids import Deadline, ServiceId
from agatetack.measure.budget import START_DELAY_SECONDS, TokenBucket
from agatetack.measure.path_looks import PathLooks
from agatetack.measure.probe import ProbeAnswer, ProbeClient, ProbeFailure
from agatetack.measure.samples import SampleExchange
from agatetack.metrics import Metrics
from agatetack.peers.exchange import Exchange
from agatetack.settings.model import PolicyName, Settings
from agatetack.targets.load import ParsedLoad
from agatetack.targets.rate_limits import SendKind
from agatetack.targets.registry import LeavingSign, TargetRegistry
from agatetack.targets.state import ReportSource, TargetState

PROBE_BYTES = 1024
"""Maximum number of bytes that one probe may send and receive together."""

SAMPLES_BYTES_RATIO = 0.5
"""Share of the byte budget that goes to samples sent to peers."""

MIN_SAMPLE_BURST_BYTES = 4096
"""Minimum capacity of the bucket of bytes for samples."""

UPDATES_START_DELAY_SECONDS = 0.2
"""Time after a start in which no updates on targets are sent.

Where each target is probed by one host, the others depend on its updates: with
4 s, a fleet that had lost power delivered a quarter of what it could in the 2 s
after its start. For this time the hosts' shares of the budget are too large, as
they don't know all other hosts yet.
"""

MAX_BUDGET_POLL_SECONDS = 0.05
"""Maximum time between two checks of a budget that is spent."""

LEAVING_PROBE_INTERVAL_SECONDS = 1.0
"""Minimum time between two probes of leaving targets, which may return."""

LOOK_ANSWER_SECONDS = 0.5
"""Time that a target with a lost path has to answer a look, if that is longer
than the timeout of probes.

A target that is slow to answer is reached all the same. Looks that end before
its answer never show that, and each of them costs it a connection: eleven hosts
so kept 32 targets that took over 0.1 s from answering at all.
"""

DRAWN_TARGETS = 3
"""Targets drawn for a probe; the one with the oldest report is probed."""

MAX_CHOSEN_SERVICES = 64
"""Maximum number of remembered services with choices since their last probe."""


class Prober:
    """Spends the measuring budget on probes and shared samples.

    Attributes:
        probes: The bucket of probes.
        probe_bytes: The bucket of their bytes.
        sharing: Sends samples to the peers and receives theirs.
        looks: Looks at targets that this host or another one can't reach.
        chosen: Services with a choice of a target since their last probe.
    """

    def __init__(
        self,
        settings: Settings,
        registry: TargetRegistry,
        exchange: Exchange,
        metrics: Metrics,
        probe: ProbeClient,
        seed: int = 0,
        share: TargetShare | None = None,
        lateness: Lateness | None = None,
    ):
        """Start with empty buckets.

        Args:
            settings: The host's settings.
            registry: The targets.
            exchange: The other hosts.
            metrics: Where spent probes and bytes are counted.
            probe: The client that probes targets.
            seed: Seed of the random choice of targets to probe.
            share: What this host may send to each target; all if None.
            lateness: How late the host's loop is; never late if None.
        """
        self.lateness = lateness or Lateness()
        self.share = share or UnlimitedShare()
        self.settings = settings
        self.registry = registry
        self.metrics = metrics
        self.client = probe
        self.rng = random.Random(seed)
        budget = settings.measure
        size = exchange.fleet_size
        self.probes = TokenBucket(
            budget.probes_per_second, size, lateness=self.lateness
        )
        share = budget.bytes_per_second * SAMPLES_BYTES_RATIO
        self.probe_bytes = TokenBucket(
            budget.bytes_per_second - share,
            size,
            PROBE_BYTES,
            lateness=self.lateness,
        )
        updates_only = settings.balance.policy is PolicyName.FLEET_VIEW
        sample_bytes = TokenBucket(
            share,
            size,
            MIN_SAMPLE_BURST_BYTES,
            UPDATES_START_DELAY_SECONDS
            if updates_only
            else START_DELAY_SECONDS,
            lateness=self.lateness,
        )
        self.sharing = SampleExchange(
            registry,
            exchange,
            metrics,
            sample_bytes,
            updates_only,
        )
        self.looks = PathLooks(
            registry, exchange, self.look, random.Random(f"{seed} looks")
        )
        self.sharing.refusal_watchers.append(self.looks.suspect)
        self.chosen: dict[ServiceId, None] = {}
        self.chosen_added = trio.Event()
        self.leaving_probe_at = 0.0
        self.failed = metrics.counter(
            "agatetack_probe_failures_total", "Probes without a report."
        )
        for failure in ProbeFailure:
            self.failed.add({"reason": failure.value}, 0)
        registry.choice_watchers.append(self._on_choice)

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Probe and share samples until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.sharing.run)
            nursery.start_soon(self._probe_leaving)
            nursery.start_soon(self.looks.run)
            task_status.started()
            if self.settings.measure.probes_per_second > 0:
                await self._probe_chosen(nursery)

    async def _probe_chosen(self, nursery: trio.Nursery) -> None:
        while True:
            if not self.chosen:
                await self.chosen_added.wait()
                self.chosen_added = trio.Event()
                continue
            if not self._take():
                self.metrics.budget_refused.inc({})
                await trio.sleep_until(self._ready_at())
                continue
            target = self._pick()
            if target is None:
                self._give_back()
                continue
            nursery.start_soon(self.probe, target)

    async def _probe_leaving(self) -> None:
        while True:
            await trio.sleep(LEAVING_PROBE_INTERVAL_SECONDS)
            leaving = list(self.registry.leaving_targets())
            if leaving and self._take():
                await self.probe(self.rng.choice(leaving))

    def _on_choice(self, service: ServiceId) -> None:
        if (
            service not in self.chosen
            and len(self.chosen) < MAX_CHOSEN_SERVICES
        ):
            self.chosen[service] = None
            self.chosen_added.set()

    def _take(self) -> bool:
        if not self.probes.take():
            return False
        if self.probe_bytes.take(PROBE_BYTES):
            return True
        self.probes.give_back(1.0)
        return False

    def _give_back(self) -> None:
        self.probes.give_back(1.0)
        self.probe_bytes.give_back(PROBE_BYTES)

    def _ready_at(self) -> float:
        ready_at = max(
            self.probes.ready_at(), self.probe_bytes.ready_at(PROBE_BYTES)
        )
        now = trio.current_time()
        # Probes in progress may put bytes back before that.
        return min(max(ready_at, now + 0.001), now + MAX_BUDGET_POLL_SECONDS)

    def _pick(self) -> TargetState | None:
        """Return a drawn target with the oldest report, or None."""
        service = next(iter(self.chosen))
        del self.chosen[service]
        targets = self.registry.targets(service)
        if len(targets) < 2:
            # With one target no report can change a choice.
            return None
        count = min(DRAWN_TARGETS, len(targets))
        drawn = self.rng.sample(targets, count)
        return min(drawn, key=_reported_at)

    async def probe(self, target: TargetState, fresh: bool = False) -> None:
        """Probe one target's load, if allowed, and record the result.

        Args:
            target: The target.
            fresh: Whether to open a connection, to find out if that works.
        """
        if not self.client.can_probe(target):
            return
        if not self.share.may_probe(target):
            return
        self.share.record_probe(target)
        self.registry.note_sent(target, SendKind.PROBE)
        timeout = self.settings.measure.probe_timeout_seconds
        if fresh:
            timeout = max(timeout, LOOK_ANSWER_SECONDS)
            self.client.close_idle(target)
        deadline = Deadline(trio.current_time() + timeout)
        result = await self.client.probe(target, deadline, PROBE_BYTES)
        if fresh and _has_responded(result):
            self.registry.paths.note_connected(target)
        self._record(target, result)

    async def look(self, target: TargetState) -> None:
        """Probe a target that may be unreachable, and tell peers what it says.

        The next request shows whether it is, if it can't be probed.
        """
        if not self.client.can_probe(target):
            self.registry.paths.note_connected(target)
            return
        started = trio.current_time()
        await self.probe(target, self.registry.paths.is_lost(target))
        if target.report is not None and target.report.at >= started:
            self.sharing.send_now(target)

    def _record(
        self, target: TargetState, result: Result[ProbeAnswer, ProbeFailure]
    ) -> None:
        self.metrics.budget_spent.add({"unit": "probes"}, 1)
        if not isinstance(result, Success):
            self._record_failure(target, result.failure())
            return
        answer = result.unwrap()
        if answer.instance not in (None, target.id):
            self.registry.note_leaving(target, LeavingSign.OTHER_INSTANCE)
            return
        self.probe_bytes.give_back(max(0, PROBE_BYTES - answer.used_bytes))
        used = min(answer.used_bytes, PROBE_BYTES)
        self.metrics.budget_spent.add({"unit": "bytes"}, used)
        load = ParsedLoad(
            answer.in_flight,
            answer.slots,
            answer.slowness,
            warm_up_seconds=answer.warm_up_seconds,
        )
        self.registry.rate_limits.note_load_answer(
            target, answer.headers, ReportSource.PROBE
        )
        self.registry.note_load_response(target, load, ReportSource.PROBE)
        self.registry.note_probe(target, answer.state)

    def _record_failure(
        self, target: TargetState, failure: ProbeFailure
    ) -> None:
        self.failed.inc({"reason": failure.value})
        self.metrics.budget_spent.add({"unit": "bytes"}, PROBE_BYTES)
        if failure is ProbeFailure.REFUSED:
            self.registry.note_leaving(target, LeavingSign.CONNECT_REFUSED)
        elif failure in (ProbeFailure.TIMEOUT, ProbeFailure.UNANSWERED):
            self.registry.paths.note_silence(target)
        elif failure is ProbeFailure.MALFORMED:
            self.registry.paths.note_heard(target)


def _has_responded(result: Result[ProbeAnswer, ProbeFailure]) -> bool:
    """Return whether the target sent a response, even a useless one."""
    if isinstance(result, Success):
        return True
    return result.failure() is ProbeFailure.MALFORMED


def _reported_at(target: TargetState) -> float:
    return float("-inf") if target.report is None else target.report.at
