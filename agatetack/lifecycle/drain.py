"""Start and drain a host without cutting off requests.

All times are deadlines on the monotonic clock, so that jumps of the wall
clock don't affect them.
"""

import dataclasses
import signal
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence

import trio

from agatetack.clock import Clock, Lateness
from agatetack.decisions import DecisionLog
from agatetack.ids import Deadline
from agatetack.lifecycle.in_flight import (
    InFlight,
    InFlightRequests,
    ServingEnd,
)
from agatetack.lifecycle.phase import Phase
from agatetack.lifecycle.readiness import (
    NotReady,
    NotReadyReason,
    ReadinessView,
    not_measured,
)
from agatetack.logs import PartLog
from agatetack.metrics import Metrics
from agatetack.process import STOP_SIGNALS
from agatetack.settings.model import Settings

READY_POLL_SECONDS = 0.02
"""Interval at which a starting host checks whether it is ready."""

MIN_DRAIN_SECONDS = 0.25
"""Shortest drain of a host that notices late that it should stop."""

FLUSH_TIME_RATIO = 0.1
"""Share of the drain time reserved for flushes if requests don't end."""

LAST_REFUSAL_SECONDS = 0.2
"""How long before the end of a drain requests are refused that other hosts have
not answered. A slow caller gets a refusal in this time."""

LOG = PartLog("lifecycle")

decisions = DecisionLog("lifecycle")

Hook = Callable[[], None]
"""Called once at its step of the drain; must not block or raise."""

Flush = Callable[[Deadline], Awaitable[None]]
"""Finishes or hands over pending work by the deadline."""


@dataclasses.dataclass(frozen=True, slots=True)
class DrainReport:
    """How a drain ended.

    Attributes:
        cut: Requests that were still in flight at the end.
        unfinished: Names of the flushes that did not end.
    """

    cut: Sequence[InFlight]
    unfinished: Sequence[str]

    @property
    def exit_code(self) -> int:
        """Return 0 if nothing was cut, else 1."""
        return 1 if self.cut or self.unfinished else 0


class Lifecycle:
    """The lifecycle of one host from start to stop.

    Attributes:
        phase: The host's current phase.
        in_flight: The requests being served.
        closing: Set when listeners close and keep-alive ends.
        asked_at: The earliest time at which the stop may have been asked for;
            None before the drain.
        drain_until: When requests in flight are cut; None before the drain.
        serving_end: Refuses the requests that can't be served before that.
    """

    def __init__(
        self,
        settings: Settings,
        metrics: Metrics,
        clock: Clock,
        lateness: Lateness | None = None,
    ):
        """Start with a host that is not ready.

        Args:
            settings: The host's settings.
            metrics: Shows the phase and counts what is cut.
            clock: The host's clocks.
            lateness: How late the host notices signals; at once if None.
        """
        self.settings = settings.lifecycle
        self.clock = clock
        self.lateness = lateness or Lateness()
        self.phase = Phase.STARTING
        self.in_flight = InFlightRequests()
        self.closing = trio.Event()
        self.serving_end = ServingEnd()
        self.asked_at: Deadline | None = None
        self.drain_until: Deadline | None = None
        self.warm_up_until: Deadline | None = None
        self.view: ReadinessView | None = None
        self.leaving_hooks: list[Hook] = []
        self.closing_hooks: list[Hook] = []
        self.ended_hooks: list[Hook] = []
        self.flushes: dict[str, Flush] = {}
        self.unflushed: list[str] = []
        self.phase_gauge = metrics.gauge(
            "agatetack_phase", "1 for the phase the host is in, else 0."
        )
        self.cut_counter = metrics.counter(
            "agatetack_cut_requests_total",
            "Requests cut by the end of a drain, by route.",
        )
        self._enter(Phase.STARTING)

    @property
    def accepting(self) -> bool:
        """Return whether new connections are accepted."""
        return not self.closing.is_set()

    @property
    def ready(self) -> bool:
        """Return whether this host may get requests."""
        return self.phase is Phase.READY

    def on_leaving(self, hook: Hook) -> None:
        """Call `hook` as soon as the drain begins."""
        self.leaving_hooks.append(hook)

    def on_closing(self, hook: Hook) -> None:
        """Call `hook` when listeners close and keep-alive ends."""
        self.closing_hooks.append(hook)

    def on_ended(self, hook: Hook) -> None:
        """Call `hook` when the drain has ended, before the rest is cut."""
        self.ended_hooks.append(hook)

    def add_flush(self, name: str, flush: Flush) -> None:
        """Run `flush` after the last request; reports call it `name`."""
        self.flushes[name] = flush
        self.unflushed.append(name)

    def not_ready(self) -> NotReady | None:
        """Return why this host may get no requests, or None."""
        if self.phase is Phase.READY:
            return None
        if self.phase is Phase.DRAINING:
            return NotReady(NotReadyReason.DRAINING, "This host is leaving.")
        if self.phase is Phase.STOPPED:
            return NotReady(NotReadyReason.STOPPED, "This host has stopped.")
        return self._check_startup()

    async def run_until_ready(self, view: ReadinessView) -> None:
        """Become ready as soon as `view` allows, then return.

        A host that has become ready stays ready until it drains, as a new
        route must not take a working host out of service.
        """
        self.view = view
        while self.phase is Phase.STARTING:
            if self._check_startup() is None:
                self._enter(Phase.READY)
                return
            await trio.sleep(READY_POLL_SECONDS)

    async def run_until_stopped(self) -> DrainReport:
        """Wait for a signal, drain, and return what was cut."""
        with trio.open_signal_receiver(*STOP_SIGNALS) as signals:
            return await self.drain_on(signals)

    async def drain_on(self, signals: AsyncIterator[int]) -> DrainReport:
        """Drain at the first of `signals`; a second SIGINT ends the drain.

        Service managers and process groups repeat signals; only a person at a
        terminal sends SIGINT twice.
        """
        first = await anext(signals)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._cancel_on_interrupt, first, signals, nursery.cancel_scope
            )
            now = self.clock.now()
            report = await self.drain(self.lateness.earliest_arrival(now))
            nursery.cancel_scope.cancel()
            return report
        return self._stop()

    async def drain(self, asked_at: Deadline | None = None) -> DrainReport:
        """Let every request in flight end, and return what was cut.

        The host stops being ready and announces its leaving at once. It still
        accepts connections for `notice_seconds`, as the platform's load
        balancer keeps sending until it notices.

        Args:
            asked_at: The earliest time at which the stop may have been asked
                for; now if None. Both times of the drain count from it, as
                whoever asked may kill the process soon after the second.
        """
        now = self.clock.now()
        asked_at = now if asked_at is None else asked_at
        self.asked_at = asked_at
        self.drain_until = Deadline(
            max(asked_at + self.settings.drain_seconds, now + MIN_DRAIN_SECONDS)
        )
        # What is let in last gets as much time as in a drain that is on time. A
        # host that notices late has answered no readiness check meanwhile, so
        # the balancer has noticed as well.
        notice_until = Deadline(
            max(asked_at + self.settings.notice_seconds, now)
        )
        self._enter(Phase.DRAINING)
        decisions.note(
            "drain",
            in_flight=len(self.in_flight),
            asked_ms_ago=self.asked_ms_ago(),
            notice_seconds=round(notice_until - now, 3),
            drain_seconds=round(self.drain_until - now, 3),
        )
        for hook in self.leaving_hooks:
            hook()
        self.serving_end.begin(self._flush_start())
        await trio.sleep_until(min(notice_until, self.drain_until))
        self.closing.set()
        for hook in self.closing_hooks:
            hook()
        with trio.move_on_at(self._flush_start()):
            await self.in_flight.wait_empty()
        self.serving_end.refuse_waiting()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._refuse_forwarded)
            await self._flush()
            # A request that runs longer than the flushes may still end in time.
            with trio.move_on_at(self.drain_until):
                await self.in_flight.wait_empty()
            nursery.cancel_scope.cancel()
        return self._stop()

    def asked_ms_ago(self) -> int | None:
        """Return how long ago the stop may have been asked for, at most."""
        if self.asked_at is None:
            return None
        return round((self.clock.now() - self.asked_at) * 1000)

    async def _refuse_forwarded(self) -> None:
        await trio.sleep_until(self.drain_until - LAST_REFUSAL_SECONDS)
        self.serving_end.refuse_forwarded()

    def _flush_start(self) -> Deadline:
        """Return when flushes begin, even with requests in flight."""
        reserved_seconds = FLUSH_TIME_RATIO * self.settings.drain_seconds
        return Deadline(
            self.drain_until - (reserved_seconds if self.flushes else 0)
        )

    def _check_startup(self) -> NotReady | None:
        if self.view is None or not self.view.configured():
            return NotReady(
                NotReadyReason.NO_CONFIGURATION,
                "This host has no configuration yet.",
            )
        if self.warm_up_until is None:
            seconds = self.settings.warm_up_seconds
            self.warm_up_until = Deadline(self.clock.now() + seconds)
        routes = self.view.unmeasured_routes()
        if routes and self.clock.now() < self.warm_up_until:
            return not_measured(routes)
        return None

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        for each in Phase:
            self.phase_gauge.set({"phase": each.value}, int(each is phase))
        LOG.info("The host is %s.", phase.value)

    async def _flush(self) -> None:
        """Run all flushes at the same time, until the drain's deadline."""
        with trio.move_on_at(self.drain_until):
            async with trio.open_nursery() as nursery:
                for name, flush in self.flushes.items():
                    nursery.start_soon(self._flush_one, name, flush)

    async def _flush_one(self, name: str, flush: Flush) -> None:
        try:
            await flush(self.drain_until)
        except Exception as error:
            # A failure must not stop the other flushes.
            LOG.error("The flush of %s failed: %r.", name, error)
        else:
            self.unflushed.remove(name)

    async def _cancel_on_interrupt(
        self,
        first: int,
        signals: AsyncIterator[int],
        scope: trio.CancelScope,
    ) -> None:
        interrupts = int(first == signal.SIGINT)
        async for number in signals:
            interrupts += number == signal.SIGINT
            if interrupts > 1:
                LOG.warning("A second SIGINT ends the drain at once.")
                scope.cancel()
                return
            LOG.info("Asked to stop again; the drain goes on.")

    def _stop(self) -> DrainReport:
        for hook in self.ended_hooks:
            hook()
        report = DrainReport(self.in_flight.all(), self.unflushed)
        for request in report.cut:
            self.cut_counter.inc({"route": request.route or "-"})
            LOG.error(
                "Request %s of route %s was cut while %s.",
                request.request_id,
                request.route or "-",
                request.stage.value,
            )
        for name in report.unfinished:
            LOG.error("The flush of %s did not end.", name)
        self._enter(Phase.STOPPED)
        return report
