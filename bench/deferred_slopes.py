"""Measure what a deferred request costs a host in memory and time.

Run `python -m bench.deferred_slopes`. Memory is what tracemalloc counts;
times are given as ratios to decoding the same records, with the machine's
microseconds beside them for docs/CAPACITY.md.
"""

import gc
import random
import time
import tracemalloc

import defopt
import trio

from agatetack.deferred.ends import split_answer
from agatetack.deferred.fold import Ticket
from agatetack.deferred.log_queue import LogDeferredQueue
from agatetack.deferred.queue import StoredAnswer
from agatetack.deferred.records import (
    decode_batch,
    encode_batch,
    identity_of,
    make_submission,
    new_ticket,
)
from agatetack.deferred.upkeep import TicketMaintenance
from agatetack.generated.deferred.ttypes import Entry, Hold, Start
from agatetack.ids import AttemptId, LogOffset, WallTime
from agatetack.messages import Header
from agatetack.metrics import Metrics
from agatetack.peers.exchange import NoExchange
from agatetack.record_log.log import LogRecord
from agatetack.settings.defaults import default_settings
from agatetack.testing.deferred_fleet import (
    ROUTE,
    FakeExecutor,
    Work,
    make_request,
)
from agatetack.testing.memory_log import MemoryLog, MemoryLogService
from agatetack.testing.virtual_clock import VirtualClock

BATCH = 20
BODY_BYTES = 300
RESULT_BYTES = 1000
SETTINGS = default_settings()


def make_entries(count: int, clock: VirtualClock) -> list[list[Entry]]:
    """Return the submissions, starts and ends of `count` tickets."""
    submissions, starts, ends = [], [], []
    entropy = random.Random(count)
    answer = StoredAnswer(
        200, (Header(b"content-type", b"text/csv"),), b"r" * RESULT_BYTES
    )
    for number in range(count):
        body = b"b" * BODY_BYTES
        request = make_request(number, body=body)
        identity = identity_of(ROUTE, request, body)
        ticket = Ticket(new_ticket(0, entropy), identity, WallTime(0))
        submission = make_submission(
            ticket.id, identity, ROUTE, request, body, clock
        )
        attempt = f"gateway-1-{number:012d}"
        hold = Hold(1, attempt, "gateway-1", clock.wall() + 120, 1)
        keep = clock.wall() + 1800
        submissions.append(Entry(submission=submission))
        starts.append(Entry(start=Start(ticket.id, hold)))
        for chunk in split_answer(
            ticket, AttemptId(attempt), answer, keep, SETTINGS
        ):
            ends.append(Entry(end=chunk))
    return [submissions, starts, ends]


def make_records(
    entries: list[Entry], first: int, clock: VirtualClock
) -> list[LogRecord]:
    """Return entries in batches, from offset `first` on."""
    return [
        LogRecord(
            LogOffset(first + number),
            encode_batch(entries[start : start + BATCH]),
            clock.wall(),
        )
        for number, start in enumerate(range(0, len(entries), BATCH))
    ]


def take_in(queue: LogDeferredQueue, records: list[LogRecord]) -> float:
    """Have the queue's only partition read records; return seconds."""
    partition = queue.partitions[0]
    begun = time.process_time()
    for record in records:
        for ticket in partition._apply(record):
            partition._notify(ticket)
    return time.process_time() - begun


def decode_all(records: list[LogRecord]) -> float:
    """Return the seconds that decoding the records alone takes."""
    begun = time.process_time()
    for record in records:
        decode_batch(record.payload)
    return time.process_time() - begun


def new_queue(clock: VirtualClock) -> LogDeferredQueue:
    """Return a host's queue of one partition that nothing runs."""
    settings = default_settings(deferred={"partitions": 1, "cache_bytes": 1})
    queue = LogDeferredQueue(
        settings,
        MemoryLog(MemoryLogService(clock)),
        NoExchange(),
        None,
        FakeExecutor(Work()),
        Metrics(),
        clock,
    )
    queue.partitions[0].on_open = queue.schedule.add
    return queue


def look_through_seconds(queue: LogDeferredQueue) -> float:
    """Return the seconds that one look through all tickets takes."""
    partition = queue.partitions[0]
    maintenance = TicketMaintenance(
        queue.settings,
        partition,
        queue.ranking,
        queue.counters,
        queue.clock,
        queue.entropy,
    )
    begun = time.process_time()
    maintenance.find_candidates(partition.fold.tickets.values())
    return time.process_time() - begun


def traced(queue: LogDeferredQueue, records: list[LogRecord]) -> int:
    """Return the bytes that stay once the queue has read records."""
    gc.collect()
    tracemalloc.start()
    take_in(queue, records)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size


async def measure(count: int) -> None:
    """Print the costs of `count` tickets."""
    clock = VirtualClock()
    stages = make_entries(count, clock)
    records = []
    for stage in stages:
        records.append(make_records(stage, 1000 * len(records), clock))
    stored = [sum(len(r.payload) for r in part) for part in records]
    submitted, started, ended = records
    memory_queue = new_queue(clock)
    open_bytes = traced(memory_queue, submitted)
    held_bytes = traced(new_queue(clock), submitted + started)
    end_bytes = traced(new_queue(clock), ended)
    queue = new_queue(clock)
    everything = submitted + started + ended
    decode = decode_all(everything)
    fold = take_in(queue, everything)
    look = look_through_seconds(memory_queue)
    names = ("submission", "start", "end")
    for name, size in zip(names, stored, strict=True):
        print(f"{count} tickets: {size / count:.0f} bytes a {name} in the log")
    print(f"{count} tickets: {open_bytes / count:.0f} bytes an open ticket")
    print(f"{count} tickets: {held_bytes / count:.0f} bytes a held ticket")
    print(f"{count} tickets: {end_bytes / count:.0f} bytes an ended ticket")
    micro = 1e6 / count
    print(
        f"{count} tickets: reading all records takes {fold / decode:.2f} of "
        f"decoding them; {fold * micro:.1f} us a ticket here"
    )
    print(f"{count} tickets: a look through takes {look * micro:.2f} us each")


def slopes(*, counts: tuple[int, ...] = (2000, 8000, 32000)) -> None:
    """Measure memory, bytes and time for numbers of tickets.

    Args:
        counts: Numbers of tickets.
    """
    for count in counts:
        trio.run(measure, count)


if __name__ == "__main__":
    defopt.run(slopes)
