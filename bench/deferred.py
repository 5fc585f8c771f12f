"""Lose hosts, log replies and the log itself under deferred requests.

Run `python -m bench.deferred`. Time is trio's mock clock, so that hours of
faults pass in seconds; what is printed are counts, and bytes measured with
tracemalloc where asked for, never wall-clock times.
"""

import collections
import dataclasses
import random
import sys

import defopt
import trio
import trio.testing
from returns.result import Success

from agatetack.deferred.queue import StoredAnswer, TicketState
from agatetack.deferred.records import decode_batch
from agatetack.generated.deferred.ttypes import Entry
from agatetack.ids import Deadline, StreamId, TicketId
from agatetack.outcomes import RefusalReason
from agatetack.record_log.log import LogRecord
from agatetack.testing.deferred_fleet import (
    ROUTE,
    DeferredFleet,
    FleetHost,
    Work,
    make_request,
)
from agatetack.testing.memory_log import AppendFault
from agatetack.testing.virtual_clock import seeded_scheduler

TICKET_SECONDS = 3000.0
"""How long a ticket may wait for its answer."""

POLL_SECONDS = 20.0
APPEND_FAULTS = (
    AppendFault.UNAVAILABLE,
    AppendFault.TOO_FAST,
    AppendFault.REPLY_LOST,
    AppendFault.REQUEST_LOST,
    AppendFault.LANDS_LATE,
)


@dataclasses.dataclass(slots=True)
class Plan:
    """How much of what happens.

    Attributes:
        tickets: Requests submitted.
        hosts: Hosts that run at the same time.
        per_second: Requests submitted a second.
        kill_seconds: Mean time between two kills, or 0 for none.
        outage_seconds: Mean time between two outages, or 0 for none.
        fault_ratio: Share of appends that go wrong.
        seed: Seeds times and faults.
    """

    tickets: int = 10_000
    hosts: int = 8
    per_second: float = 100.0
    kill_seconds: float = 2.0
    outage_seconds: float = 30.0
    fault_ratio: float = 0.05
    seed: int = 5


@dataclasses.dataclass(slots=True)
class Count:
    """What happened.

    Attributes:
        accepted: Tickets given to callers.
        refused: Submissions refused as not run.
        in_doubt: Submissions whose outcome was unknown.
        cut: Submissions and polls whose host was killed meanwhile.
        answered: Tickets whose whole right answer was fetched.
        wrong: Tickets with another answer than the right one.
        lost: Tickets without an answer.
        kills: Hosts killed and replaced.
        outages: Outages of the log.
    """

    accepted: int = 0
    refused: int = 0
    in_doubt: int = 0
    cut: int = 0
    answered: int = 0
    wrong: int = 0
    lost: int = 0
    kills: int = 0
    outages: int = 0


class Story:
    """What became of each ticket, to be told of those that are lost.

    Attributes:
        lines: What happened to a ticket, in the order of time.
        last_poll: What its last poll was told.
    """

    def __init__(self) -> None:
        """Start with no ticket."""
        self.lines: dict[TicketId, list[str]] = collections.defaultdict(list)
        self.last_poll: dict[TicketId, str] = {}

    def note(self, ticket: TicketId, text: str) -> None:
        """Note what happens to a ticket now."""
        self.lines[ticket].append(f"{trio.current_time():9.3f} s  {text}")

    def note_record(self, stream: StreamId, record: LogRecord) -> None:
        """Note the tickets in a record that was appended."""
        for entry in decode_batch(record.payload):
            ticket, text = describe(entry)
            self.note(ticket, f"{stream} {record.offset}: {text}")

    def note_poll(self, ticket: TicketId, result) -> None:
        """Note the answer to a poll, if it is not the last one's."""
        if result is None:
            text = "cut"
        elif isinstance(result, Success):
            found = result.unwrap()
            state = isinstance(found, TicketState)
            text = found.value if state else "answered"
        else:
            text = result.failure().reason.value
        if text != self.last_poll.get(ticket):
            self.last_poll[ticket] = text
            self.note(ticket, f"poll: {text}")


def describe(entry: Entry) -> tuple[TicketId, str]:
    """Return the ticket of an entry, and what the entry says of it."""
    if entry.submission is not None:
        part = entry.submission
        copy = "" if part.origin is None else f", copy of {part.origin}"
        hold = "" if part.hold is None else f", held by {part.hold.attempt}"
        return TicketId(part.ticket), f"submission{copy}{hold}"
    if entry.start is not None:
        hold = entry.start.hold
        text = f"hold {hold.number} of {hold.attempt}, try {hold.tries}"
        return TicketId(entry.start.ticket), text
    part = entry.end
    copy = "" if part.origin is None else f", copy of {part.origin}"
    return TicketId(part.ticket), f"end of kind {part.kind}{copy}"


class Trial:
    """One run of a plan."""

    def __init__(self, plan: Plan, fleet: DeferredFleet):
        """Run `plan` on `fleet`."""
        self.plan = plan
        self.fleet = fleet
        self.dice = random.Random(plan.seed)
        self.count = Count()
        self.ended_at = 0.0
        self.story = Story()
        self.lost: list[TicketId] = []
        fleet.service.watchers.append(self.story.note_record)

    async def call(self, one_call, *args):
        """Call a random host; None if it is killed before it answers."""
        name, host = self.dice.choice(list(self.fleet.hosts.items()))
        result = None
        with self.fleet.serving(name):
            result = await one_call(host, *args)
        if result is None:
            self.count.cut += 1
        return result

    async def caller(self, number: int) -> None:
        """Submit one request until it is accepted, then poll its answer."""
        ticket = None
        while ticket is None:
            ticket = await self.submit_once(number)
        self.count.accepted += 1
        end = trio.current_time() + TICKET_SECONDS + 100
        while trio.current_time() < end:
            result = await self.call(fetch, ticket)
            self.story.note_poll(ticket, result)
            if isinstance(result, Success):
                found = result.unwrap()
                if isinstance(found, StoredAnswer):
                    self.check(number, found)
                    return
            await trio.sleep(1 + self.dice.random() * POLL_SECONDS)
        self.count.lost += 1
        self.lost.append(ticket)

    async def submit_once(self, number: int) -> TicketId | None:
        """Submit a request on a random host; None if it must be sent again."""
        result = await self.call(submit, number)
        if result is None:
            return None
        if isinstance(result, Success):
            return result.unwrap()
        if result.failure().reason is RefusalReason.TICKET_IN_DOUBT:
            self.count.in_doubt += 1
        else:
            self.count.refused += 1
        await trio.sleep(0.5 + self.dice.random())
        return None

    def check(self, number: int, answer: StoredAnswer) -> None:
        """Count an answer as right or wrong."""
        if answer.body == self.fleet.work.body(b"/waves/%d" % number):
            self.count.answered += 1
        else:
            self.count.wrong += 1

    async def submit_all(self) -> None:
        """Start the callers one after another and wait for all of them."""
        async with trio.open_nursery() as nursery:
            for number in range(self.plan.tickets):
                nursery.start_soon(self.caller, number)
                await trio.sleep(1 / self.plan.per_second)

    async def kill_hosts(self) -> None:
        """Kill and replace random hosts, at times two at once."""
        while self.plan.kill_seconds:
            await trio.sleep(self.wait(self.plan.kill_seconds))
            for _ in range(self.dice.choice((1, 1, 1, 2))):
                host = self.dice.choice(list(self.fleet.hosts))
                self.fleet.kill(host)
                self.count.kills += 1
                # Half of them come back under the same name.
                name = host if self.dice.random() < 0.5 else None
                await self.fleet.start(name)

    async def fail_log(self) -> None:
        """Take the log away for some seconds, now and then."""
        faults = self.fleet.service.faults
        while self.plan.outage_seconds:
            await trio.sleep(self.wait(self.plan.outage_seconds))
            self.count.outages += 1
            if self.dice.random() < 0.5:
                faults.outage = True
            else:
                faults.frozen = True
            await trio.sleep(self.wait(4))
            faults.outage = faults.frozen = False

    async def fail_appends(self) -> None:
        """Have a share of the appends go wrong."""
        faults = self.fleet.service.faults
        while self.plan.fault_ratio:
            await trio.sleep(0.05)
            while len(faults.next_appends) < 20:
                bad = self.dice.random() < self.plan.fault_ratio
                fault = self.dice.choice(APPEND_FAULTS)
                faults.next_appends.append(fault if bad else AppendFault.NONE)

    def second_ends(self) -> int:
        """Return the doubled runs that a host has read of."""
        return max(
            sum(
                part.fold.second_ends for part in host.queue.partitions.values()
            )
            for host in self.fleet.hosts.values()
        )

    def wait(self, mean: float) -> float:
        """Return a random time with the given mean, in seconds."""
        return min(self.dice.expovariate(1 / mean), 5 * mean)


async def submit(host: FleetHost, number: int):
    """Submit request `number` on a host."""
    return await host.queue.submit(ROUTE, make_request(number, TICKET_SECONDS))


async def fetch(host: FleetHost, ticket: TicketId):
    """Poll a ticket on a host."""
    until = Deadline(trio.current_time() + POLL_SECONDS)
    return await host.queue.fetch(ticket, until)


async def run_trial(plan: Plan) -> Trial:
    """Run a plan to its end."""
    async with trio.open_nursery() as nursery:
        settings = {
            "platform": {"log": {"retention_seconds": 120}},
            "deferred": {"result_keep_seconds": 400},
        }
        work = Work(seconds=0.2, fault_ratio=0.02)
        fleet = DeferredFleet(nursery, work, settings, plan.seed)
        trial = Trial(plan, fleet)
        for _ in range(plan.hosts):
            await fleet.start()
        nursery.start_soon(fleet.drop_old_records)
        nursery.start_soon(trial.kill_hosts)
        nursery.start_soon(trial.fail_log)
        nursery.start_soon(trial.fail_appends)
        await trial.submit_all()
        trial.ended_at = trio.current_time()
        nursery.cancel_scope.cancel()
    return trial


def run_seeded(plan: Plan) -> Trial:
    """Run a plan in virtual time, the same way at each call."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    with seeded_scheduler(plan.seed):
        return trio.run(run_trial, plan, clock=clock)


def report(trial: Trial) -> None:
    """Print what happened."""
    fleet, work = trial.fleet, trial.fleet.work
    print(dataclasses.asdict(trial.plan))
    print(dataclasses.asdict(trial.count))
    again = sum(runs - 1 for runs in work.finished.values())
    per_ticket = fleet.service.appends / max(trial.count.accepted, 1)
    print(f"runs begun {sum(work.runs.values())}, tickets {len(work.runs)}")
    print(f"answers beyond a ticket's first: {again}")
    print(f"appends {fleet.service.appends}, {per_ticket:.2f} a ticket")
    print(f"virtual seconds {trial.ended_at:.0f}")
    print(f"second ends, most seen by one host: {trial.second_ends()}")
    for ticket in trial.lost:
        print(f"ticket {ticket} was lost:")
        print("\n".join(trial.story.lines[ticket]))


def trial(
    *,
    tickets: int = 10_000,
    hosts: int = 8,
    per_second: float = 100.0,
    kill_seconds: float = 2.0,
    calm: bool = False,
    seed: int = 5,
) -> None:
    """Lose hosts, replies and the log, and count what became of tickets.

    Args:
        tickets: Requests submitted.
        hosts: Hosts that run at the same time.
        per_second: Requests submitted a second.
        kill_seconds: Mean time between two kills, or 0 for none.
        calm: Whether nothing fails.
        seed: Seeds all that is drawn; the same seed gives the same run.
    """
    plan = Plan(tickets, hosts, per_second, kill_seconds, seed=seed)
    if calm:
        plan.kill_seconds = plan.outage_seconds = plan.fault_ratio = 0
    done = run_seeded(plan)
    report(done)
    if done.count.answered != tickets:
        sys.exit(1)


if __name__ == "__main__":
    defopt.run(trial)
