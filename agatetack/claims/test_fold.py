"""Test the fold with reordered, repeated and lost records."""

import dataclasses
import enum

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    multiple,
    rule,
)

from agatetack.claims.done_keys import MINUTE_MS, DoneKey, DoneKeys
from agatetack.claims.fold import Fold
from agatetack.claims.reappender import keep_entry
from agatetack.generated.claims.ttypes import Entry, EntryKind, VerdictKind
from agatetack.ids import LogOffset
from agatetack.settings.defaults import default_settings

SETTINGS = default_settings()
KEYS = [b"a" * 16, b"b" * 16]
NOW_MS = 1_700_000_000_000


def entry_of(kind, attempt, seen=0):
    """Return an entry for the first key; `attempt` is one letter."""
    return Entry(
        kind=kind,
        key=KEYS[0],
        attempt=attempt.encode() * 16,
        fingerprint=b"f" * 16,
        seen=seen,
        status=201 if kind == EntryKind.DONE else None,
        dated=False,
        until_ms=NOW_MS,
        claimed_ms=NOW_MS,
    )


def claim(attempt, seen=0):
    return entry_of(EntryKind.CLAIM, attempt, seen)


def release(attempt):
    return entry_of(EntryKind.RELEASE, attempt)


def done(attempt):
    return entry_of(EntryKind.DONE, attempt)


def keep(attempt):
    return entry_of(EntryKind.KEEP, attempt)


@pytest.mark.parametrize(
    ("entries", "verdict"),
    [
        ([claim("a")], VerdictKind.GRANTED),
        ([claim("a"), claim("a")], VerdictKind.GRANTED),
        ([claim("a"), claim("b")], VerdictKind.HELD),
        ([claim("a"), done("a"), claim("b")], VerdictKind.DONE),
        ([claim("a"), done("a"), claim("a")], VerdictKind.DONE),
        ([claim("a"), release("a"), claim("a")], VerdictKind.DEAD),
        ([claim("a"), release("a"), claim("b", 1)], VerdictKind.DEAD),
        ([claim("a"), release("a"), claim("b", 2)], VerdictKind.GRANTED),
        ([release("a"), claim("a")], VerdictKind.DEAD),
        ([release("a"), claim("b")], VerdictKind.DEAD),
        ([release("a"), claim("b", 1)], VerdictKind.GRANTED),
        ([claim("a"), release("b"), claim("b")], VerdictKind.HELD),
        ([claim("a"), done("a"), release("a")], VerdictKind.DONE),
        ([claim("a"), done("a"), keep("a"), claim("b")], VerdictKind.DONE),
        ([keep("a"), claim("b")], VerdictKind.HELD),
        ([done("a"), claim("b")], VerdictKind.DONE),
        ([claim("a"), release("a"), keep("a")], VerdictKind.FREE),
        ([release("b"), keep("a"), claim("c", 9)], VerdictKind.HELD),
        ([claim("b"), keep("a"), release("b")], VerdictKind.HELD),
        ([claim("b"), keep("a"), release("a")], VerdictKind.HELD),
        ([claim("b"), keep("a"), done("b")], VerdictKind.DONE),
    ],
)
def test_last_entry_is_judged(entries, verdict):
    fold = fold_records([[entry] for entry in entries])
    assert fold.verdict_on(entries[-1]).kind == verdict


def test_many_done_keys():
    """Tables that fill, grow and expire return the keys that were added."""
    done = DoneKeys(max_keys=16_000, span_ms=MINUTE_MS)
    keys = [n.to_bytes(2, "big") * 8 for n in range(1, 3001)]
    for number, key in enumerate(keys):
        at_ms = number * 100
        done.add(DoneKey(key, b"f" * 16, 200, at_ms + 60_000), at_ms)
    assert all(done.find(key).key == key for key in keys)
    assert done.find(keys[0][:8] + b"x" * 8) is None
    assert done.find(keys[0]).differs(b"g" * 16)
    assert not done.find(keys[0]).differs(b"f" * 16)
    due = done.due(before_ms=0, expires_ms=100_000, limit=2000)
    # The first key expires too early, the others in the second minute.
    assert {key.key for key in due} == set(keys[1:600])
    for key in keys[:600]:
        done.move_to_newest(key, 300_000)
    assert done.due(0, 0, 2000) == []
    assert len(done) == 3000
    assert all(done.find(key).key == key for key in keys)
    done.drop_expired(200_000)
    # Keys expire by generation, no matter when they were last written.
    found = [bool(done.find(key)) for key in keys]
    assert found == [False] * 1200 + [True] * 1800


class Stage(enum.Enum):
    """The progress of an attempt on its host."""

    OPEN = 1
    GRANTED = 2
    DISPATCHED = 3
    GIVEN_UP = 4


@dataclasses.dataclass
class Attempt:
    """An attempt whose claim may be appended at any time and repeatedly."""

    entry: Entry
    arrived: int
    stage: Stage = Stage.OPEN

    def make(self, kind, status=None):
        return Entry(kind, self.entry.key, self.entry.attempt, status=status)


def fold_records(records, start=0):
    fold = Fold(SETTINGS)
    if start:
        fold.start(LogOffset(start))
    for offset in range(start, len(records)):
        for entry in records[offset]:
            fold.apply(LogOffset(offset), NOW_MS + offset, entry)
        fold.advance(LogOffset(offset), NOW_MS + offset)
    return fold


class ClaimMachine(RuleBasedStateMachine):
    """Model of hosts on one log that pause, resend entries and give up."""

    attempts = Bundle("attempts")
    keeps = Bundle("keeps")

    def __init__(self):
        super().__init__()
        self.records = []
        self.fold = Fold(SETTINGS)
        self.now = 0
        self.all = []
        self.runs = dict.fromkeys(KEYS, 0)
        self.not_run = dict.fromkeys(KEYS, -1)

    def append(self, *entries):
        offset = LogOffset(len(self.records))
        self.records.append(list(entries))
        self.now += 1
        verdicts = []
        for entry in entries:
            self.fold.apply(offset, NOW_MS + offset, entry)
            verdicts.append(self.fold.verdict_on(entry).kind)
        self.fold.advance(offset, NOW_MS + offset)
        return verdicts

    @rule(
        target=attempts,
        key=st.sampled_from(KEYS),
        lag=st.integers(0, 3),
        dated=st.booleans(),
    )
    def arrive(self, key, lag, dated):
        self.now += 1
        attempt = Attempt(
            Entry(
                kind=EntryKind.CLAIM,
                key=key,
                attempt=len(self.all).to_bytes(16, "big"),
                fingerprint=b"f" * 16,
                seen=max(0, self.fold.next - lag),
                dated=dated,
                until_ms=NOW_MS,
            ),
            self.now,
        )
        self.all.append(attempt)
        return attempt

    @rule(first=attempts, second=attempts)
    def land_claims(self, first, second):
        pair = [first] if first is second else [first, second]
        verdicts = self.append(*[attempt.entry for attempt in pair])
        for attempt, verdict in zip(pair, verdicts, strict=True):
            if attempt.stage is Stage.OPEN:
                granted = verdict == VerdictKind.GRANTED
                attempt.stage = Stage.GRANTED if granted else Stage.GIVEN_UP

    @rule(attempt=attempts)
    def dispatch(self, attempt):
        if attempt.stage is Stage.GRANTED:
            attempt.stage = Stage.DISPATCHED
            key = attempt.entry.key
            self.runs[key] += 1
            assert self.runs[key] == 1
            assert attempt.arrived > self.not_run[key]

    @rule(attempt=attempts)
    def land_done(self, attempt):
        if attempt.stage is Stage.DISPATCHED:
            self.append(attempt.make(EntryKind.DONE, 201))

    @rule(attempt=attempts)
    def give_up(self, attempt):
        if attempt.stage in (Stage.OPEN, Stage.GRANTED):
            attempt.stage = Stage.GIVEN_UP

    @rule(attempt=attempts)
    def land_release(self, attempt):
        if attempt.stage is Stage.GIVEN_UP:
            [verdict] = self.append(attempt.make(EntryKind.RELEASE))
            if verdict == VerdictKind.FREE:
                key = attempt.entry.key
                assert self.runs[key] == 0
                self.not_run[key] = self.now

    @rule(target=keeps, key=st.sampled_from(KEYS))
    def find_due(self, key):
        state = self.fold.keys.get(key)
        if state is None or state.holder is None:
            return multiple()
        return keep_entry(key, state)

    @rule(entry=keeps)
    def land_keep(self, entry):
        self.append(entry)

    @rule(entry=consumes(keeps))
    def lose_keep(self, entry):
        self.now += 1

    @invariant()
    def every_reader_agrees(self):
        again = fold_records(self.records)
        assert again.keys == self.fold.keys
        for key in KEYS:
            assert again.lookup(key, None) == self.fold.lookup(key, None)

    @invariant()
    def a_late_reader_frees_nothing(self):
        """Any retained keep or done record of a used key blocks it."""
        for start in range(1, len(self.records)):
            late = fold_records(self.records, start)
            for key, state in self.fold.keys.items():
                if state.holder and self.is_kept(key, state, start):
                    assert late.lookup(key, None).kind != VerdictKind.FREE
            for key in KEYS:
                if self.fold.find_done(key) and self.is_done(key, start):
                    assert late.lookup(key, None).kind == VerdictKind.DONE

    def is_done(self, key, start):
        """Return whether a done entry of `key` is retained from `start`."""
        return any(
            entry.key == key and entry.kind == EntryKind.DONE
            for record in self.records[start:]
            for entry in record
        )

    def is_kept(self, key, state, start):
        """Return whether a record of the holder is retained from `start`."""
        kinds = (EntryKind.KEEP, EntryKind.DONE)
        return any(
            entry.key == key
            and entry.attempt == state.holder
            and entry.kind in kinds
            for record in self.records[start:]
            for entry in record
        )


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = settings(
    max_examples=150,
    stateful_step_count=25,
    derandomize=True,
    deadline=None,
)
