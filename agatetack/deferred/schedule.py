"""Decide which ticket this host runs next, and when."""

import collections
import heapq
from collections.abc import Mapping

import trio

from agatetack.clock import Clock, wall_to_deadline
from agatetack.config.route import RouteSource
from agatetack.deferred.fold import Ticket
from agatetack.deferred.host_ranking import HostRanking
from agatetack.deferred.partition import Partition
from agatetack.ids import Deadline, RouteId, TicketId
from agatetack.settings.model import Settings

RECHECK_SECONDS = 1.0
"""Delay before a ticket that can't be run now is checked again."""


class Schedule:
    """Open tickets, ordered by when this host may run them.

    Attributes:
        preferred: Tickets that are ready and for which this host ranks first.
        fallback: Ready tickets that higher-ranked hosts did not take in time.
        delayed: A heap of tickets with the time of their next check.
        queued: All tickets in `preferred`, `fallback` and `delayed`.
        running: Tickets that this host is working on.
        paused_until: For each paused route, when it may be tried again.
        draining: Whether `take` returns no more tickets.
    """

    def __init__(
        self,
        settings: Settings,
        partitions: Mapping[int, Partition],
        ranking: HostRanking,
        source: RouteSource,
        clock: Clock,
    ):
        """Schedule the tickets of `partitions`."""
        self.settings = settings
        self.partitions = partitions
        self.ranking = ranking
        self.source = source
        self.clock = clock
        self.preferred: collections.deque[TicketId] = collections.deque()
        self.fallback: collections.deque[TicketId] = collections.deque()
        self.delayed: list[tuple[Deadline, TicketId]] = []
        self.queued: set[TicketId] = set()
        self.running: set[TicketId] = set()
        self.paused_until: dict[RouteId, Deadline] = {}
        self.draining = False
        self.wake = trio.Event()

    def add(self, ticket: TicketId, at: Deadline | None = None) -> None:
        """Queue an open ticket to be checked at `at`, by default at once."""
        if ticket in self.queued or ticket in self.running:
            return
        self.queued.add(ticket)
        heapq.heappush(self.delayed, (at or self.clock.now(), ticket))
        self.wake.set()

    def done(self, ticket: TicketId, again_at: Deadline | None) -> None:
        """Mark a ticket as not running; queue it again if `again_at` is set."""
        self.running.discard(ticket)
        if again_at is not None:
            self.add(ticket, again_at)

    def pause(self, route: RouteId, until: Deadline) -> None:
        """Run no ticket of a route before `until`."""
        self.paused_until[route] = until

    async def take(self) -> Ticket:
        """Wait for the next ticket; it counts as running until `done`."""
        while True:
            ticket = None if self.draining else self._next_ready()
            if ticket is not None:
                return ticket
            until = self.clock.now() + RECHECK_SECONDS
            if self.delayed and not self.draining:
                until = min(until, self.delayed[0][0])
            if self.wake.is_set():
                self.wake = trio.Event()
            with trio.move_on_at(until):
                await self.wake.wait()

    def partition_of(self, ticket: TicketId) -> Partition:
        """Return the partition of a valid ticket id."""
        return self.partitions[int(ticket.partition("-")[0])]

    def find(self, ticket: TicketId) -> Ticket | None:
        """Return the state of a ticket, or None if it is unknown."""
        return self.partition_of(ticket).get(ticket)

    def _next_ready(self) -> Ticket | None:
        self._enqueue_ready()
        for queue in (self.preferred, self.fallback):
            while queue:
                ticket_id = queue.popleft()
                self.queued.discard(ticket_id)
                ticket = self.find(ticket_id)
                if ticket is None or not ticket.open:
                    continue
                runnable_at = self._runnable_at(ticket)
                if runnable_at <= self.clock.now():
                    self.running.add(ticket_id)
                    return ticket
                self.add(ticket_id, runnable_at)
        return None

    def _enqueue_ready(self) -> None:
        """Move tickets that may run now to `preferred` or `fallback`."""
        now = self.clock.now()
        while self.delayed and self.delayed[0][0] <= now:
            _, ticket_id = heapq.heappop(self.delayed)
            ticket = self.find(ticket_id)
            if ticket is None or not ticket.open:
                self.queued.discard(ticket_id)
                continue
            runnable_at = self._runnable_at(ticket)
            if runnable_at > now:
                heapq.heappush(self.delayed, (runnable_at, ticket_id))
            elif self.ranking.rank(ticket_id) == 0:
                self.preferred.append(ticket_id)
            else:
                self.fallback.append(ticket_id)

    def _runnable_at(self, ticket: Ticket) -> Deadline:
        """Return when this host may run a ticket, judging by current state."""
        now = self.clock.now()
        partition = self.partition_of(ticket.id)
        table = self.source.table
        if (
            not partition.fresh
            or table is None
            or ticket.route not in table.routes
            or partition.fold.primary(ticket) is not ticket
        ):
            return Deadline(now + RECHECK_SECONDS)
        if ticket.deadline <= self.clock.wall():
            # The maintenance task records that it has expired.
            return Deadline(now + RECHECK_SECONDS)
        route_paused_until = self.paused_until.get(ticket.route, now)
        if route_paused_until > now:
            return route_paused_until
        return self._turn_starts_at(ticket)

    def _turn_starts_at(self, ticket: Ticket) -> Deadline:
        """Return when this host may run a ticket, by its rank among live hosts.

        Each higher-ranked host delays it by another `takeover_seconds`.
        """
        now = self.clock.now()
        takeover = self.settings.deferred.takeover_seconds
        since = wall_to_deadline(self.clock, ticket.submitted_at)
        hold = ticket.hold
        if hold is not None:
            if hold.host == self.ranking.host:
                # A hold of this host that isn't running, maybe from before a
                # restart.
                return now
            hold_expires = wall_to_deadline(self.clock, hold.until)
            dead_since = self.ranking.presumed_dead_since(hold.host)
            if hold_expires > now and dead_since is None:
                return Deadline(min(hold_expires, now + takeover))
            since = (
                hold_expires
                if dead_since is None
                else min(hold_expires, dead_since)
            )
        rank = self.ranking.rank(ticket.id)
        return Deadline(since + rank * takeover)
