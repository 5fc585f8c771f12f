"""Test that every host folds the same records into the same state."""

import dataclasses

import hypothesis
import pytest
import trio
from hypothesis import strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from agatetack.config import fold as fold_module
from agatetack.config.change import NO_VERSION, RouteChange
from agatetack.config.chunks import SnapshotReader, decode_chunk, split_snapshot
from agatetack.config.counters import ConfigCounters
from agatetack.config.fold import Fold, OutOfOrder, Verdict
from agatetack.config.records import encode, encode_change
from agatetack.config.route import RequestClass, Route, RouteSource, RouteTable
from agatetack.config.snapshot import encode_snapshot
from agatetack.config.state import Batch, ConfigState, Source
from agatetack.metrics import Metrics

REMEMBERED = 5
CHUNK_BYTES = 260


def make_change(
    change_id: str, route_id: str, expected: int, path: str | None
) -> RouteChange:
    """Return a change; one without a path deletes the route."""
    route = None
    if path is not None:
        route = Route(route_id, "team", "service", RequestClass.FAST, path)
    return RouteChange(change_id, route_id, route, expected, "ann", 1.7e9)


def put(change_id="one", route_id="a", expected=-1, path="/a", base=-1):
    change = make_change(change_id, route_id, expected, path)
    return encode_change(change, base)


def fold_all(payloads) -> list[Verdict]:
    fold = Fold()
    return [fold.apply(i, p).verdict for i, p in enumerate(payloads)]


BAD_ROUTE = make_change("bad", "b", -1, "no-slash")
A, C, P, BAD = (
    Verdict.ACCEPTED,
    Verdict.CONFLICT,
    Verdict.PATH_TAKEN,
    Verdict.INVALID,
)
D, S, M = Verdict.DUPLICATE, Verdict.STALE, Verdict.MALFORMED

FOLDS = [
    ([put(), put()], [A, D]),
    ([put(), put("two")], [A, C]),
    ([put(), put("two", expected=0)], [A, A]),
    ([put(), put("two", expected=0), put("three", expected=0)], [A, A, C]),
    ([put(), put("two", expected=1)], [A, C]),
    ([put(), put("two", "b")], [A, P]),
    ([put(), put("two", "b", path="/a/")], [A, P]),
    ([put(), put("two", expected=0, path="/b"), put("x", "b")], [A, A, A]),
    ([put(), put("two", expected=0, path=None), put("x")], [A, A, A]),
    ([put(), put("two", expected=0, path=None), put("x", "b")], [A, A, A]),
    (
        [put(), put("two", expected=0, path=None), put("x")]
        + [b""] * REMEMBERED
        + [put("late", base=7)],
        [A, A, A, *[M] * REMEMBERED, C],
    ),
    (
        [put("one", "b"), put("two", "a", path="/b")]
        + [put("x", "b", 0, path=None), put("y", "a", 1, path=None)],
        [A, A, A, A],
    ),
    ([put(path=None)], [BAD]),
    ([put("two", expected=0, path=None)], [C]),
    ([encode_change(BAD_ROUTE, -1), put()], [BAD, A]),
    ([put(expected=-2), put()], [BAD, D]),
    ([b"", b"\xff" * 40, put()[:-3], put()], [M, M, M, A]),
    ([put(base=0)], [M]),
    ([put("no spaces")], [M]),
    ([put(), *[b""] * REMEMBERED, put()], [A, *[M] * REMEMBERED, S]),
    ([*[b""] * (REMEMBERED - 1), put()], [*[M] * (REMEMBERED - 1), A]),
    ([*[b""] * REMEMBERED, put()], [*[M] * REMEMBERED, S]),
]


@pytest.fixture
def few_remembered_records(monkeypatch):
    monkeypatch.setattr(fold_module, "REMEMBERED_RECORDS", REMEMBERED)


@pytest.mark.parametrize(("payloads", "verdicts"), FOLDS)
def test_verdicts(payloads, verdicts, few_remembered_records):
    assert fold_all(payloads) == verdicts


@pytest.mark.parametrize("offset", [-1, 0, 2])
def test_folds_the_next_record_only(offset):
    fold = Fold()
    fold.apply(0, put())
    with pytest.raises(OutOfOrder):
        fold.apply(offset, put("two", expected=0))
    assert fold.version == 0


def test_deleted_routes_are_forgotten_in_time(few_remembered_records):
    fold = Fold()
    payloads = [put(), put("two", expected=0, path=None), *[b""] * REMEMBERED]
    for offset, payload in enumerate(payloads):
        fold.apply(offset, payload)
    assert (fold.slots, fold.deleted, fold.decisions) == ({}, {}, {})


async def copy_by_chunks(fold: Fold, order) -> Fold:
    """Copy a fold through a snapshot whose chunks arrive in any order."""
    content = await encode_snapshot(fold)
    chunks = split_snapshot(content, fold.version, CHUNK_BYTES)
    reader = SnapshotReader()
    for chunk in sorted(chunks, key=order):
        payload = encode(chunk)
        assert len(payload) <= CHUNK_BYTES
        reader.add(decode_chunk(payload))
    return await reader.load()


@pytest.mark.parametrize(("payloads", "verdicts"), FOLDS)
async def test_snapshot_determines_the_state(
    payloads, verdicts, few_remembered_records
):
    fold = Fold()
    for offset, payload in enumerate(payloads):
        fold.apply(offset, payload)
    copy = await copy_by_chunks(fold, lambda chunk: -chunk.index)
    assert fold_state(copy) == fold_state(fold)


@dataclasses.dataclass
class Written:
    """A written record; copies of it may be appended at any time."""

    payload: bytes
    accepted: int = 0


class ConfigHosts(RuleBasedStateMachine):
    """Hosts that get the records of one log, from it, peers or snapshots.

    Records are only ever appended to the log. A host that restarts begins
    with no state, or with any host's snapshot.
    """

    def __init__(self):
        """Start with an empty log and three hosts."""
        super().__init__()
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(fold_module, "REMEMBERED_RECORDS", REMEMBERED)
        self.log: list[bytes] = []
        self.reference = Fold()
        self.expected = [fold_state(self.reference)]
        self.written: list[Written] = []
        self.hosts = [new_state() for _ in range(3)]
        self.seen = [NO_VERSION] * 3

    def teardown(self):
        """Undo the patch."""
        self.patch.undo()

    @rule(
        route=strategies.sampled_from("abc"),
        path=strategies.sampled_from(["/a", "/b", "/c/", None, "bad"]),
        host=strategies.integers(0, 2),
        expected=strategies.sampled_from(["seen", "seen", "none", "old"]),
    )
    def write(self, route, path, host, expected):
        """Write a record based on what one host has folded."""
        fold = self.hosts[host].fold
        version = fold.version_of(route)
        if expected != "seen":
            version = NO_VERSION if expected == "none" else 0
        change = make_change(f"c{len(self.written)}", route, version, path)
        payload = encode_change(change, fold.version)
        self.written.append(Written(payload))

    @rule(
        route=strategies.sampled_from("abc"),
        path=strategies.sampled_from(["own", "own", None]),
    )
    def change(self, route, path):
        """Append a change by a writer that has read all records."""
        expected = self.reference.version_of(route)
        path = f"/{route}{len(self.log)}" if path else None
        change = make_change(f"c{len(self.written)}", route, expected, path)
        payload = encode_change(change, self.reference.version)
        self.written.append(Written(payload))
        self.land(0, newest=True)

    @precondition(lambda self: self.written)
    @rule(pick=strategies.integers(0, 10**6), newest=strategies.booleans())
    def land(self, pick, newest):
        """Append a copy of a record, possibly long after it was written."""
        index = -1 if newest else pick % len(self.written)
        written = self.written[index]
        verdict = self.append(written.payload)
        written.accepted += verdict is Verdict.ACCEPTED

    @rule(payload=strategies.binary(max_size=8))
    def land_garbage(self, payload):
        """Append bytes that are not a change."""
        assert self.append(payload) is Verdict.MALFORMED

    def append(self, payload: bytes) -> Verdict:
        """Append to the log and store the expected state after it."""
        before = {r.id: r.version for r in self.reference.routes()}
        step = self.reference.apply(len(self.log), payload)
        self.log.append(payload)
        self.expected.append(fold_state(self.reference))
        if step.verdict is Verdict.ACCEPTED:
            current = before.get(step.change.route_id, NO_VERSION)
            assert step.change.expected_version == current
        return step.verdict

    @rule(
        host=strategies.integers(0, 2),
        first=strategies.integers(0, 30),
        count=strategies.integers(0, 8),
    )
    def read(self, host, first, count):
        """Let a host read any range of records, as from the log or a peer."""
        batch = Batch(first, self.log[first : first + count])
        self.hosts[host].fold_batch(batch, Source.PEER)

    @rule(host=strategies.integers(0, 2), count=strategies.integers(1, 9))
    def read_next(self, host, count):
        """Let a host read the next records and a few that it already has."""
        first = max(0, self.hosts[host].fold.version - 1)
        self.read(host, first, count)

    @rule(
        sender=strategies.integers(0, 2),
        receiver=strategies.integers(0, 2),
        reverse=strategies.booleans(),
    )
    def send_snapshot(self, sender, receiver, reverse):
        """Let a host load another host's snapshot, whichever is newer."""
        fold = self.hosts[sender].fold
        if fold.version == NO_VERSION:
            return
        sign = -1 if reverse else 1
        copy = trio.run(copy_by_chunks, fold, lambda c: sign * c.index)
        newer = copy.version > self.hosts[receiver].fold.version
        assert self.hosts[receiver].load(copy, Source.PEER) is newer

    @rule(host=strategies.integers(0, 2))
    def restart(self, host):
        """Let a host lose its state."""
        self.hosts[host] = new_state()
        self.seen[host] = NO_VERSION

    @invariant()
    def states_follow_from_the_log(self):
        """Compare each host with the expected state after the same records."""
        for index, host in enumerate(self.hosts):
            assert fold_state(host.fold) == self.expected[host.fold.version + 1]
            assert host.fold.version >= self.seen[index]
            self.seen[index] = host.fold.version
            table = RouteTable(host.fold.routes())
            assert vars(host.source.table) == vars(table)

    @invariant()
    def each_change_is_accepted_once(self):
        """Check that no second copy of a change was accepted."""
        assert all(written.accepted <= 1 for written in self.written)


def new_state() -> ConfigState:
    state = ConfigState(RouteSource(), ConfigCounters(Metrics()), 4)
    state.mark_ready()
    return state


def fold_state(fold: Fold) -> dict:
    """Return a copy of a fold's state with the order of remembered entries."""
    copy = {name: value for name, value in vars(fold).items()}
    copy["slots"] = dict(fold.slots)
    copy["matches"] = dict(fold.matches)
    copy["decisions"] = list(fold.decisions.items())
    copy["deleted"] = list(fold.deleted.items())
    return copy


ConfigHosts.TestCase.settings = hypothesis.settings(
    max_examples=60,
    stateful_step_count=50,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestConfigHosts = ConfigHosts.TestCase
