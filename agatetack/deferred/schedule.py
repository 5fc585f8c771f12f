"""Hand out the tickets that this host should run next."""

import collections
import heapq
from collections.abc import Mapping

import trio

from agatetack.clock import Clock, wall_to_deadline
from agatetack.config.route import RouteSource
from agatetack.deferred.choice import Choice
from agatetack.deferred.fold import Ticket
from agatetack.deferred.partition import Partition
from agatetack.ids import Deadline, RouteId, TicketId
from agatetack.settings.model import Settings

LATER_SECONDS = 1.0
"""When to look again at a ticket that can't be run for another reason."""


class Schedule:
    """The open tickets, by when this host may run them.

    Attributes:
        own: Tickets this host goes first for, ready to be taken.
        others: Ready tickets that another host has not taken in time.
        later: Tickets with when to look at them again, soonest first.
        queued: Every ticket in one of the three.
        running: Tickets that this host works on.
        pauses: When a route may be tried again.
        closed: Whether nothing more is handed out.
    """

    def __init__(
        self,
        settings: Settings,
        partitions: Mapping[int, Partition],
        choice: Choice,
        source: RouteSource,
        clock: Clock,
    ):
        """Schedule the tickets of `partitions`."""
        self.settings = settings
        self.partitions = partitions
        self.choice = choice
        self.source = source
        self.clock = clock
        self.own: collections.deque[TicketId] = collections.deque()
        self.others: collections.deque[TicketId] = collections.deque()
        self.later: list[tuple[Deadline, TicketId]] = []
        self.queued: set[TicketId] = set()
        self.running: set[TicketId] = set()
        self.pauses: dict[RouteId, Deadline] = {}
        self.closed = False
        self.wake = trio.Event()

    def add(self, ticket: TicketId, at: Deadline | None = None) -> None:
        """Queue an open ticket, to be looked at at `at` or at once."""
        if ticket in self.queued or ticket in self.running:
            return
        self.queued.add(ticket)
        heapq.heappush(self.later, (at or self.clock.now(), ticket))
        self.wake.set()

    def done(self, ticket: TicketId, again_at: Deadline | None) -> None:
        """End this host's work on a ticket; look again at `again_at`."""
        self.running.discard(ticket)
        if again_at is not None:
            self.add(ticket, again_at)

    def pause(self, route: RouteId, until: Deadline) -> None:
        """Try no ticket of a route before `until`."""
        self.pauses[route] = until

    async def take(self) -> Ticket:
        """Return the next ticket; it counts as running until `done`."""
        while True:
            ticket = None if self.closed else self._pop()
            if ticket is not None:
                return ticket
            until = self.clock.now() + LATER_SECONDS
            if self.later and not self.closed:
                until = min(until, self.later[0][0])
            if self.wake.is_set():
                self.wake = trio.Event()
            with trio.move_on_at(until):
                await self.wake.wait()

    def partition_of(self, ticket: TicketId) -> Partition:
        """Return the partition that a known ticket is in."""
        return self.partitions[int(ticket.partition("-")[0])]

    def find(self, ticket: TicketId) -> Ticket | None:
        """Return a ticket of any partition."""
        return self.partition_of(ticket).get(ticket)

    def _pop(self) -> Ticket | None:
        self._sort_due()
        for queue in (self.own, self.others):
            while queue:
                ticket_id = queue.popleft()
                self.queued.discard(ticket_id)
                ticket = self.find(ticket_id)
                if ticket is None or not ticket.open:
                    continue
                due = self._due(ticket)
                if due <= self.clock.now():
                    self.running.add(ticket_id)
                    return ticket
                self.add(ticket_id, due)
        return None

    def _sort_due(self) -> None:
        """Move the tickets that are due now to `own` or `others`."""
        now = self.clock.now()
        while self.later and self.later[0][0] <= now:
            _, ticket_id = heapq.heappop(self.later)
            ticket = self.find(ticket_id)
            if ticket is None or not ticket.open:
                self.queued.discard(ticket_id)
                continue
            due = self._due(ticket)
            if due > now:
                heapq.heappush(self.later, (due, ticket_id))
            elif self.choice.rank(ticket_id) == 0:
                self.own.append(ticket_id)
            else:
                self.others.append(ticket_id)

    def _due(self, ticket: Ticket) -> Deadline:
        """Return when this host may run a ticket, as known now."""
        now = self.clock.now()
        partition = self.partition_of(ticket.id)
        table = self.source.table
        if (
            not partition.fresh
            or table is None
            or ticket.route not in table.routes
            or partition.fold.primary(ticket) is not ticket
        ):
            return Deadline(now + LATER_SECONDS)
        if ticket.deadline <= self.clock.wall():
            # The task that looks after expiry ends it.
            return Deadline(now + LATER_SECONDS)
        paused = self.pauses.get(ticket.route, now)
        if paused > now:
            return paused
        return self._turn(ticket)

    def _turn(self, ticket: Ticket) -> Deadline:
        """Return when it is this host's turn among the live ones."""
        now = self.clock.now()
        takeover = self.settings.deferred.takeover_seconds
        since = wall_to_deadline(self.clock, ticket.submitted_at)
        hold = ticket.hold
        if hold is not None:
            if hold.host == self.choice.host:
                # An idle hold of its own, or one of an earlier life.
                return now
            lapse = wall_to_deadline(self.clock, hold.until)
            gone = self.choice.gone_since(hold.host)
            if lapse > now and gone is None:
                return Deadline(min(lapse, now + takeover))
            since = lapse if gone is None else min(lapse, gone)
        rank = self.choice.rank(ticket.id)
        return Deadline(since + rank * takeover)
