"""Keep deferred requests in the platform's log and see that each ends."""

import random

import trio
from returns.result import Result

from agatetack.clock import Clock
from agatetack.config.route import Route, RouteSource
from agatetack.deferred.choice import Choice
from agatetack.deferred.counters import Counters
from agatetack.deferred.fetcher import Fetcher
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
from agatetack.deferred.upkeep import Upkeep
from agatetack.deferred.writer import Pacer
from agatetack.ids import Deadline, TicketId
from agatetack.messages import CallerRequest
from agatetack.metrics import Metrics
from agatetack.outcomes import Refusal
from agatetack.peers.exchange import Exchange
from agatetack.record_log.log import Log
from agatetack.settings.model import Settings

WORKERS = 2
"""Workers for each request that may run; the others record ends."""

REFRESH_SECONDS = 0.5
"""How often the view of live peers and the gauges are brought up to date."""


class LogDeferredQueue(DeferredQueue):
    """Deferred requests whose only lasting place is the platform's log.

    Attributes:
        partitions: Every partition by its number.
        schedule: What this host runs next.
        submitter: Takes requests in.
        fetcher: Gives results out.
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
        """Build all parts; nothing is read or run before `run`.

        Args:
            settings: The host's settings.
            log: The platform's log.
            exchange: What peers tell.
            source: The routes in force.
            executor: Runs requests at targets.
            metrics: The host's counters.
            clock: The host's clocks.
            entropy: Makes ids; the system's if None, as others must not be
                able to guess a ticket.
        """
        self.settings = settings
        self.entropy = entropy or random.SystemRandom()
        self.clock = SteadyClock(clock)
        self.counters = Counters(metrics)
        self.metrics = metrics
        self.choice = Choice(settings, exchange, self.clock)
        pacer = Pacer(settings, self.clock)
        self.partitions = {
            number: Partition(number, settings, log, pacer, metrics, self.clock)
            for number in range(settings.deferred.partitions)
        }
        self.schedule = Schedule(
            settings, self.partitions, self.choice, source, self.clock
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
        """Follow the log and run tickets, until cancelled."""
        self.choice.refresh()
        async with trio.open_nursery() as nursery:
            for partition in self.partitions.values():
                partition.on_open = self.schedule.add
                upkeep = Upkeep(
                    self.settings,
                    partition,
                    self.choice,
                    self.counters,
                    self.clock,
                    self.entropy,
                )
                nursery.start_soon(partition.run)
                nursery.start_soon(partition.writer.run)
                nursery.start_soon(upkeep.run)
            for _ in range(WORKERS * self.settings.deferred.concurrency):
                nursery.start_soon(self.runner.work)
            nursery.start_soon(self._refresh)
            task_status.started()

    async def drain(self) -> None:
        """Take up nothing more and wait until what runs here is recorded."""
        self.schedule.closed = True
        while self.schedule.running:
            await trio.sleep(REFRESH_SECONDS / 10)

    async def submit(
        self, route: Route, request: CallerRequest
    ) -> Result[TicketId, Refusal]:
        """Keep the request; returned only once it was read back."""
        return await self.submitter.submit(route, request)

    async def fetch(
        self, ticket: TicketId, wait_until: Deadline
    ) -> Result[StoredAnswer | TicketState, Refusal]:
        """Return the result, or how far it is at `wait_until`.

        A failed ticket is a refusal with the failure's reason.
        """
        return await self.fetcher.fetch(ticket, wait_until)

    async def _refresh(self) -> None:
        """Bring the view of the peers and the gauges up to date."""
        while True:
            self.choice.refresh()
            folds = [part.fold for part in self.partitions.values()]
            still_open = sum(fold.open_count for fold in folds)
            known = sum(len(fold.tickets) for fold in folds)
            second = sum(fold.second_ends for fold in folds)
            self.counters.open.set({}, still_open)
            self.counters.ended.set({}, known - still_open)
            self.counters.second_ends.set({}, second)
            await trio.sleep(REFRESH_SECONDS)
