"""Test that record order, copies and truncation don't change the state."""

import dataclasses

import hypothesis
import pytest
from hypothesis import strategies

from agatetack.deferred.fold import Fold
from agatetack.deferred.records import (
    MalformedRecord,
    decode_batch,
    encode_batch,
)
from agatetack.generated.deferred.ttypes import (
    EndChunk,
    EndKind,
    Entry,
    Hold,
    Start,
    Submission,
)
from agatetack.ids import LogOffset, WallTime
from agatetack.record_log.log import LogRecord

CHUNK_SECONDS = 100.0
TICKETS = ("0-a", "0-b")


def submission(ticket: str, hold: Hold | None = None) -> Entry:
    part = Submission(
        ticket=ticket,
        identity=ticket.encode(),
        route="r",
        request_id="1",
        caller="c",
        method=b"GET",
        path=b"/",
        host=b"h",
        headers=[],
        body=b"",
        submitted_at=1.0,
        deadline=9.0,
        hold=hold,
    )
    return Entry(submission=part)


def start(ticket: str, number: int, attempt: str) -> Entry:
    hold = Hold(number=number, attempt=attempt, host="h", until=5.0, tries=1)
    return Entry(start=Start(ticket, hold))


def end(ticket: str, attempt: str, index: int = 0, chunks: int = 1) -> Entry:
    part = EndChunk(
        ticket=ticket,
        identity=ticket.encode(),
        attempt=attempt,
        kind=EndKind.ANSWERED,
        index=index,
        chunks=chunks,
        body=attempt.encode(),
        keep_until=50.0,
    )
    return Entry(end=part)


ENTRIES = strategies.sampled_from(
    [submission(ticket) for ticket in TICKETS]
    + [
        start(ticket, number, attempt)
        for ticket in TICKETS
        for number, attempt in ((1, "x"), (1, "y"), (2, "z"))
    ]
    + [
        end(ticket, attempt, index, chunks)
        for ticket in TICKETS
        for attempt, index, chunks in (
            ("x", 0, 2),
            ("x", 1, 2),
            ("y", 0, 1),
            ("z", 0, 1),
        )
    ]
)
STREAMS = strategies.lists(ENTRIES, max_size=14)


def records_of(entries: list[Entry], after: list = ()) -> list[LogRecord]:
    """Return records that follow `after` after a long gap."""
    since = after[-1].appended_at + 2 * CHUNK_SECONDS if after else 0.0
    return [
        LogRecord(
            LogOffset(len(after) + number),
            encode_batch([entry]),
            WallTime(since + number),
        )
        for number, entry in enumerate(entries)
    ]


def fold_of(records: list[LogRecord]) -> Fold:
    fold = Fold(CHUNK_SECONDS)
    for record in records:
        for entry in decode_batch(record.payload):
            fold.apply(record, entry)
    return fold


def summary(fold: Fold) -> dict:
    """Return the state that hosts must agree on, without copies' offsets."""
    return {
        ticket.id: (
            ticket.open,
            ticket.hold,
            ticket.end and (ticket.end.attempt, ticket.end.origin),
        )
        for ticket in fold.tickets.values()
        if ticket.open or ticket.end is not None
    }


def append_again(fold: Fold, records: list[LogRecord]) -> list[LogRecord]:
    """Return the stream followed by a copy of each live ticket."""
    entries = []
    for ticket in fold.tickets.values():
        if ticket.end is not None:
            for offset in ticket.end.offsets:
                [entry] = decode_batch(records[offset].payload)
                entry.end.origin = ticket.end.origin
                entries.append(entry)
        elif ticket.open:
            hold = ticket.hold and Hold(**dataclasses.asdict(ticket.hold))
            entries.append(submission(ticket.id, hold))
    return records + records_of(entries, records)


FEW = hypothesis.settings(derandomize=True, max_examples=200, deadline=None)


@FEW
@hypothesis.given(STREAMS, strategies.randoms(use_true_random=False))
def test_order_and_copies_do_not_matter(entries, dice):
    records = records_of(entries)
    shuffled = records + [dice.choice(records) for _ in records[:5]]
    dice.shuffle(shuffled)
    assert summary(fold_of(shuffled)) == summary(fold_of(records))


@FEW
@hypothesis.given(STREAMS, STREAMS, strategies.integers(0, 40))
def test_truncation_after_copies_loses_nothing(entries, later, cut):
    # Submissions come first, since no host holds a ticket it has not read.
    records = records_of([submission(name) for name in TICKETS] + entries)
    kept = append_again(fold_of(records), records)
    whole = kept + records_of(later, kept)
    # Retention may drop any number of the records before the copies.
    rest = whole[min(cut, len(records)) :]
    assert summary(fold_of(rest)) == summary(fold_of(whole))


@FEW
@hypothesis.given(STREAMS)
def test_first_complete_end_counts_and_open_is_counted(entries):
    seen: dict[str, dict[str, set[int]]] = {}
    first: dict[str, str] = {}
    for entry in entries:
        part = entry.end
        if part is not None:
            got = seen.setdefault(part.ticket, {})
            got.setdefault(part.attempt, set()).add(part.index)
            if len(got[part.attempt]) == part.chunks:
                first.setdefault(part.ticket, part.attempt)
    fold = fold_of(records_of(entries))
    submitted = {e.submission.ticket for e in entries if e.submission}
    ends = {t.id: t.end.attempt for t in fold.tickets.values() if t.end}
    assert ends == first
    assert fold.open_count == len(submitted - set(first))


def test_equal_submissions_share_the_first_ticket():
    first, second = submission("0-a"), submission("0-b")
    second.submission.identity = b"0-a"
    copy = submission("0-a")
    copy.submission.origin = 0
    failed = end("0-a", "x")
    failed.end.kind = EndKind.FAILED
    fold = fold_of(records_of([first, second, copy])[1:])
    assert fold.find_identity(b"0-a").id == "0-a"
    assert fold.primary(fold.tickets["0-b"]).id == "0-a"
    fold = fold_of(records_of([first, second, failed]))
    assert fold.find_identity(b"0-a") is None
    assert fold.primary(fold.tickets["0-b"]).id == "0-b"


def test_chunks_far_apart_are_not_one_end():
    records = records_of([submission("0-a"), end("0-a", "x", 0, 2)])
    records += records_of([end("0-a", "x", 1, 2)], records)
    assert fold_of(records).tickets["0-a"].open
    records += records_of(
        [end("0-a", "x", 0, 2), end("0-a", "x", 1, 2)], records
    )
    assert fold_of(records).tickets["0-a"].end.offsets == (3, 4)


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        b"\x00",
        b"\xff" * 40,
        encode_batch([Entry()]),
        encode_batch([Entry(start=Start(ticket="0-a"))]),
        encode_batch([end("0-a", "x", 2, 2)]),
        encode_batch([submission("0-a")])[:-3],
    ],
)
def test_malformed_records_are_told(payload):
    with pytest.raises(MalformedRecord):
        decode_batch(payload)
