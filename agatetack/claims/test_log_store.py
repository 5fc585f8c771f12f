"""Test claims under faults of the log, the peers and the host."""

import dataclasses

import pytest
import trio
from returns.result import Success

from agatetack.claims import codec
from agatetack.claims.conftest import EPOCH, ClaimFleet
from agatetack.generated.claims.ttypes import Batch, Entry, EntryKind
from agatetack.ids import Deadline, HostId, LogOffset, WallTime
from agatetack.outcomes import Outcome, RefusalReason
from agatetack.record_log.log import LogRecord
from agatetack.testing.memory_log import AppendFault

ISSUED = int(EPOCH * 1000)


def outcome_of(result):
    if isinstance(result, Success):
        return "granted", None
    refusal = result.failure()
    return refusal.reason.value, refusal.outcome


@pytest.mark.parametrize(
    ("request_args", "reason", "outcome"),
    [
        ({"key": None}, RefusalReason.KEY_MISSING, Outcome.NOT_RUN),
        ({"key": ""}, RefusalReason.KEY_MISSING, Outcome.NOT_RUN),
        ({"key": "k" * 201}, RefusalReason.KEY_MALFORMED, Outcome.NOT_RUN),
        ({"key": "a\nb"}, RefusalReason.KEY_MALFORMED, Outcome.NOT_RUN),
        ({"issued": "-1"}, RefusalReason.KEY_MALFORMED, Outcome.UNKNOWN),
        ({"issued": "9" * 16}, RefusalReason.KEY_MALFORMED, Outcome.UNKNOWN),
        (
            {"issued": ISSUED - 900_001},
            RefusalReason.KEY_EXPIRED,
            Outcome.UNKNOWN,
        ),
        (
            {"issued": ISSUED + 400_000},
            RefusalReason.KEY_EXPIRED,
            Outcome.UNKNOWN,
        ),
        ({"issued": ISSUED - 800_000}, None, None),
        ({"issued": ISSUED + 200_000}, None, None),
        ({}, None, None),
        ({"age": 901.0}, RefusalReason.CLAIM_IN_DOUBT, Outcome.UNKNOWN),
    ],
)
async def test_keys_are_checked(
    autojump_clock, fleet, request_args, reason, outcome
):
    store = await fleet.add()
    result = await fleet.claim(store, **request_args)
    wanted = (reason.value if reason else "granted", outcome)
    assert outcome_of(result) == wanted


LOST = AppendFault.REPLY_LOST
NEVER = AppendFault.REQUEST_LOST
LATE = AppendFault.LANDS_LATE
FAST = AppendFault.TOO_FAST
DOWN = AppendFault.UNAVAILABLE


@pytest.mark.parametrize("hosts", [1, 2])
@pytest.mark.parametrize(
    ("faults", "wanted"),
    [
        ([LOST], "granted"),
        ([NEVER], "granted"),
        ([LATE], "granted"),
        ([FAST], "granted"),
        ([LOST, LOST], "granted"),
        ([NEVER, LOST], "granted"),
        ([LATE, NEVER], "granted"),
        ([FAST, LATE], "granted"),
        ([NEVER, DOWN], "granted"),
        ([DOWN], "log-unavailable"),
        ([DOWN, LATE], "log-unavailable"),
        ([NEVER] * 400, "claim-in-doubt"),
    ],
)
async def test_append_faults(autojump_clock, fleet, hosts, faults, wanted):
    """A key runs at most once, whichever faults its appends meet."""
    stores = [await fleet.add() for _ in range(hosts)]
    for client in fleet.clients:
        client.faults.next_appends = list(faults)
    first = await fleet.claim(stores[0])
    if hosts == 1 or wanted != "log-unavailable":
        assert outcome_of(first)[0] == wanted
    for client in fleet.clients:
        client.faults.next_appends.clear()
    await trio.sleep(3)
    second = await fleet.claim(stores[-1])
    granted = [isinstance(r, Success) for r in (first, second)]
    assert sum(granted) == 1
    if granted[0]:
        assert outcome_of(second)[0] == "key-in-progress"


def freeze(fleet):
    fleet.log.faults.frozen = True


def cut_log(fleet):
    fleet.log.faults.outage = True


def cut_first_host(fleet):
    fleet.mesh.isolate(HostId("h0"))
    cut_log(fleet)


def lose_host(fleet):
    fleet.scopes[1].cancel()
    fleet.mesh.cut |= {(HostId("h0"), HostId("h1"))}
    cut_log(fleet)


@pytest.mark.parametrize(
    ("fault", "earlier", "reason", "outcome"),
    [
        (cut_log, None, "log-unavailable", Outcome.NOT_RUN),
        (cut_log, "claimed", "key-in-progress", Outcome.UNKNOWN),
        (cut_log, "done", "key-already-done", Outcome.ANSWERED),
        (cut_log, "released", "log-unavailable", Outcome.NOT_RUN),
        (cut_log, "open", "log-unavailable", Outcome.UNKNOWN),
        (cut_log, "unread", "log-unavailable", Outcome.UNKNOWN),
        (cut_first_host, None, "log-unavailable", Outcome.UNKNOWN),
        (lose_host, None, "log-unavailable", Outcome.UNKNOWN),
        (freeze, None, "claim-in-doubt", Outcome.UNKNOWN),
    ],
)
async def test_log_out(autojump_clock, fleet, fault, earlier, reason, outcome):
    """Refuse as "not run" only what no host can have run."""
    asker, other = [await fleet.add() for _ in range(2)]
    if earlier == "open":
        # The other host's claim is pending; nothing is in the log yet.
        fleet.clients[1].faults.frozen = True
        fleet.mesh.cut |= {(HostId("h1"), HostId("h0"))}
        fleet.nursery.start_soon(fleet.claim, other)
        await trio.sleep(0.01)
        fleet.mesh.cut.clear()
    elif earlier is not None:
        if earlier == "unread":
            fleet.clients[0].faults.outage = True
            await trio.sleep(1)
        claim = (await fleet.claim(other)).unwrap()
        if earlier == "done":
            await other.finish(claim, 201)
        if earlier == "released":
            assert await other.release(claim)
        await trio.sleep(3)
    fault(fleet)
    await trio.sleep(1.5)
    started = trio.current_time()
    result = await fleet.claim(asker)
    assert outcome_of(result) == (reason, outcome)
    if fault is not freeze:
        assert trio.current_time() - started < 0.5


async def test_key_reported_unused_is_blocked_for_older_requests(
    autojump_clock, fleet
):
    asker, other = [await fleet.add() for _ in range(2)]
    cut_log(fleet)
    await trio.sleep(1.5)
    refused = await fleet.claim(asker)
    assert refused.failure().outcome is Outcome.NOT_RUN
    fleet.log.faults.outage = False
    await trio.sleep(1)
    # It arrived before the other host answered that the key was unused.
    late = await fleet.claim(other, age=1.1)
    assert outcome_of(late) == ("claim-in-doubt", Outcome.UNKNOWN)
    assert isinstance(await fleet.claim(other), Success)


async def test_release_bars_requests_that_came_before_it(autojump_clock, fleet):
    """A paused host must not run what another answered as "not run"."""
    first, paused = [await fleet.add() for _ in range(2)]
    claim = (await fleet.claim(first)).unwrap()
    assert await first.release(claim)
    await trio.sleep(0.2)
    late = await fleet.claim(paused, age=0.3)
    assert outcome_of(late) == ("claim-in-doubt", Outcome.UNKNOWN)
    assert isinstance(await fleet.claim(paused), Success)


@pytest.mark.parametrize(
    ("bodies", "reason"),
    [
        ((b"1", b"1", b"1"), "key-in-progress"),
        ((b"1", b"2", b"3"), "key-reused"),
    ],
)
async def test_racers_have_one_winner(autojump_clock, fleet, bodies, reason):
    stores = [await fleet.add() for _ in range(3)]
    fleet.log.faults.delay_seconds = 0.02
    results = []

    async def race(store, content):
        results.append(await fleet.claim(store, body=content))

    async with trio.open_nursery() as nursery:
        for store, body in zip(stores, bodies, strict=True):
            nursery.start_soon(race, store, body)
    outcomes = [outcome_of(result)[0] for result in results]
    assert outcomes.count("granted") == 1
    assert set(outcomes) == {"granted", reason}


async def test_paused_holder_does_not_run_late(autojump_clock, fleet):
    """A deadline that passed on the wall clock alone refuses the claim."""
    store = await fleet.add()
    fleet.log.faults.delay_seconds = 0.1

    async def resume_later():
        await trio.sleep(0.05)
        store.clock.skew = 60.0

    fleet.nursery.start_soon(resume_later)
    result = await fleet.claim(store)
    assert outcome_of(result) == ("claim-in-doubt", Outcome.UNKNOWN)


@pytest.mark.parametrize("pause", ["coordinator", "mesh"])
async def test_claims_go_on_without_coordinator(autojump_clock, fleet, pause):
    stores = [await fleet.add() for _ in range(3)]
    coordinator = stores[0].router.coordinator(0) or HostId("h0")
    for host in fleet.mesh.hosts:
        if pause == "mesh" or host == coordinator:
            fleet.mesh.cut |= {
                (other, host) for other in fleet.mesh.hosts if other != host
            }
    for number, store in enumerate(stores):
        result = await fleet.claim(store, key=f"k{number}")
        assert isinstance(result, Success)


async def test_restart_and_retention(autojump_clock, nursery):
    """Undated keys outlive the records that claimed them."""
    fleet = ClaimFleet(
        nursery, key_window_seconds=20, undated_window_seconds=200
    )
    fleet.platform["log"]["retention_seconds"] = 50
    store = await fleet.add()
    await store.finish((await fleet.claim(store, key="done")).unwrap(), 201)
    await fleet.claim(store, key="held")
    stream = store.partitions[0].stream
    for _ in range(5):
        await trio.sleep(28)
        old = fleet.log.clock.wall() - 50
        kept = [r for r in fleet.log.streams[stream] if r.appended_at > old]
        fleet.log.truncate(stream, kept[0].offset)
    assert fleet.log.appends < 20
    fresh = await fleet.add()
    assert fresh.partitions[0].fold.known_since_ms > 0
    done = await fleet.claim(fresh, key="done")
    held = await fleet.claim(fresh, key="held")
    assert outcome_of(done)[0] == "key-already-done"
    assert outcome_of(held)[0] == "key-outcome-unknown"
    await trio.sleep(130)
    assert isinstance(await fleet.claim(fresh, key="other"), Success)
    assert len(fresh.partitions[0].fold) == 1


async def test_unread_stream_grants_nothing(autojump_clock, fleet):
    store = await fleet.add()
    await fleet.claim(store)
    await trio.sleep(0.1)
    fleet.log.faults.outage = True
    fleet.scopes[0].cancel()
    fleet.mesh.leave(HostId("h0"))
    fresh = await fleet.add()
    result = await fleet.claim(fresh)
    assert outcome_of(result) == ("log-unavailable", Outcome.UNKNOWN)


async def test_memory_is_bounded(autojump_clock, nursery):
    fleet = ClaimFleet(nursery, max_keys=3)
    store = await fleet.add()
    results = [await fleet.claim(store, key=f"k{n}") for n in range(5)]
    reasons = [outcome_of(result)[0] for result in results]
    assert reasons == ["granted"] * 3 + ["key-store-full"] * 2


async def test_cancelled_claim_frees_its_key(autojump_clock, fleet):
    store = await fleet.add()
    fleet.log.faults.delay_seconds = 0.2
    with trio.move_on_after(0.1):
        await fleet.claim(store)
    await trio.sleep(1)
    assert isinstance(await fleet.claim(store), Success)


async def test_release_fails_while_the_log_is_out(autojump_clock, fleet):
    store = await fleet.add()
    claim = (await fleet.claim(store)).unwrap()
    fleet.log.faults.outage = True
    assert not await store.release(claim)
    assert not await store.flush(Deadline(trio.current_time() + 1))
    fleet.log.faults.outage = False
    assert await store.flush(Deadline(trio.current_time() + 5))
    assert isinstance(await fleet.claim(store), Success)


async def test_records_are_folded_in_order_and_once(autojump_clock, fleet):
    partition = (await fleet.add()).partitions[0]
    claims = [
        Entry(EntryKind.CLAIM, b"k" * 16, b"a" * 16, b"f", 0, None, True, 1)
    ]
    payload = codec.encode(Batch(claims))
    partition.on_appended(LogOffset(1), payload)
    assert not partition.fold.keys
    partition.on_appended(LogOffset(0), payload)
    assert partition.fold.next == 1
    record = LogRecord(LogOffset(0), payload, WallTime(EPOCH + 9))
    partition._apply_record(record)
    assert partition.fold.now_ms < (EPOCH + 9) * 1000


@pytest.mark.parametrize(
    "changes",
    [
        {"kind": 9},
        {"key": b"short"},
        {"attempt": None},
        {"fingerprint": None},
        {"seen": None},
        {"until_ms": None},
        {"kind": EntryKind.DONE},
        {"kind": EntryKind.KEEP},
    ],
)
def test_entries_are_checked(changes):
    fields = {
        "kind": EntryKind.CLAIM,
        "key": b"k" * 16,
        "attempt": b"a" * 16,
        "fingerprint": b"f",
        "seen": 0,
        "until_ms": 1,
    }
    assert codec.check_entry(Entry(**fields)) is None
    with pytest.raises(codec.BadMessage):
        codec.check_entry(Entry(**(fields | changes)))


async def test_bad_records_and_calls_harm_nothing(autojump_clock, fleet):
    store = await fleet.add()
    fleet.log.store(store.partitions[0].stream, b"\xff\x00junk")
    await trio.sleep(0.1)
    for payload in (b"", b"\xff" * 50, b"\x1c\x1c"):
        assert await store.call_handler.handle(HostId("x"), payload)
    claim = (await fleet.claim(store)).unwrap()
    assert dataclasses.is_dataclass(claim)
