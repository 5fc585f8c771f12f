"""Store deferred requests in the platform's log and run each to an end."""

import random

import trio
from returns.result import Result

from agatetack.clock import Clock
from agatetack.config.route import Route, RouteSource
from agatetack.deferred.counters import Counters
from agatetack.deferred.fetcher import Fetcher
from agatetack.deferred.host_ranking import HostRanking
from agatetack.deferred.partition import Partition
from agatetack.deferred.queue import (
    DeferredQueue,
    Executor,
    StoredAnswer,
    TicketState,
)
from agatetack.deferred.runner import Runner
from agatetack.deferred.schedule import Schedule
from agatetack.deferred.steady import SteadyClock
from agatetack.deferred.submitter import Submitter
from agatetack.deferred.upkeep import TicketMaintenance
from agatetack.deferred.writer import AppendRateLimiter
from agatetack.ids import Deadline, TicketId
from agatetack.messages import CallerRequest
from agatetack.metrics import Metrics
from agatetack.outcomes import Refusal
from agatetack.peers.exchange import Exchange
from agatetack.record_log.log import Log
from agatetack.settings.model import Settings

WORKERS_PER_SLOT = 2
"""Workers per request that may run at a time; the rest record ends."""

REFRESH_SECONDS = 0.5
"""Interval at which the set of live peers and the gauges are updated."""


class LogDeferredQueue(DeferredQueue):
    """A queue whose only durable storage is the platform's log.

    Attributes:
        partitions: All partitions by number.
        schedule: Decides which ticket this host runs next.
        submitter: Accepts and stores requests.
        fetcher: Looks up results.
        runner: This host's workers.
    """

    def __init__(
        self,
        settings: Settings,
        log: Log,
        exchange: Exchange,
        source: RouteSource,
        executor: Executor,
        metrics: Metrics,
        clock: Clock,
        entropy: random.Random | None = None,
    ):
        """Create all components; nothing is read or run before `run`.

        Args:
            settings: The host's settings.
            log: The platform's log.
            exchange: Knows which peers are live.
            source: The routes in force.
            executor: Runs requests at targets.
            metrics: The host's counters.
            clock: The host's clocks.
            entropy: The random source for ids. By default the system's, so
                that ticket ids can't be guessed.
        """
        self.settings = settings
        self.entropy = entropy or random.SystemRandom()
        self.clock = SteadyClock(clock)
        self.counters = Counters(metrics)
        self.metrics = metrics
        self.ranking = HostRanking(settings, exchange, self.clock)
        rate_limiter = AppendRateLimiter(settings, self.clock)
        self.partitions = {
            number: Partition(
                number, settings, log, rate_limiter, metrics, self.clock
            )
            for number in range(settings.deferred.partitions)
        }
        self.schedule = Schedule(
            settings, self.partitions, self.ranking, source, self.clock
        )
        self.submitter = Submitter(
            settings,
            self.partitions,
            self.counters,
            self.clock,
            self.entropy,
        )
        self.fetcher = Fetcher(
            settings, self.partitions, self.counters, self.clock
        )
        self.runner = Runner(
            settings,
            self.schedule,
            source,
            executor,
            self.counters,
            self.clock,
            self.entropy,
        )

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Follow the log and run tickets until cancelled."""
        self.ranking.refresh()
        async with trio.open_nursery() as nursery:
            for partition in self.partitions.values():
                partition.on_open = self.schedule.add
                maintenance = TicketMaintenance(
                    self.settings,
                    partition,
                    self.ranking,
                    self.counters,
                    self.clock,
                    self.entropy,
                )
                nursery.start_soon(partition.run)
                nursery.start_soon(partition.writer.run)
                nursery.start_soon(maintenance.run)
            for _ in range(
                WORKERS_PER_SLOT * self.settings.deferred.concurrency
            ):
                nursery.start_soon(self.runner.work)
            nursery.start_soon(self._refresh)
            task_status.started()

    async def drain(self) -> None:
        """Start no more tickets; wait until the running ones are recorded."""
        self.schedule.draining = True
        while self.schedule.running:
            await trio.sleep(REFRESH_SECONDS / 10)

    async def submit(
        self, route: Route, request: CallerRequest
    ) -> Result[TicketId, Refusal]:
        """Store the request and return its ticket once it is read back."""
        return await self.submitter.submit(route, request)

    async def fetch(
        self, ticket: TicketId, wait_until: Deadline
    ) -> Result[StoredAnswer | TicketState, Refusal]:
        """Return the result, or the ticket's state at `wait_until`.

        For a failed ticket, return a refusal with the reason of the failure.
        """
        return await self.fetcher.fetch(ticket, wait_until)

    async def _refresh(self) -> None:
        """Update the set of live peers and the gauges periodically."""
        while True:
            self.ranking.refresh()
            folds = [part.fold for part in self.partitions.values()]
            open_tickets = sum(fold.open_count for fold in folds)
            known = sum(len(fold.tickets) for fold in folds)
            second = sum(fold.second_ends for fold in folds)
            self.counters.open.set({}, open_tickets)
            self.counters.ended.set({}, known - open_tickets)
            self.counters.second_ends.set({}, second)
            await trio.sleep(REFRESH_SECONDS)
