"""Test the order of requests of client accounts, on one host and over hosts."""

import random

import pytest
import trio
import trio.testing

from agatetack.admission.controller import PermitRequest
from agatetack.admission.queue import Order, Waiter
from agatetack.admission.ranks import (
    MAX_RANK_YIELD_SECONDS,
    PROTECTED_EVERY,
    RANK_YIELD_SECONDS,
    RankOrder,
    fraction_of,
)
from agatetack.admission.test_support import fill, make_account, make_harness
from agatetack.ids import Deadline
from agatetack.testing.targets import make_request, make_route

TURN_SECONDS = 0.0014
HOSTS = 18
"""Hosts of a group, which take turns at a freed slot."""

MIN_SERVED_RATIO = 0.25


def name_of(protected, number=0):
    """Return the id of a request that does or doesn't yield by its draw."""
    while True:
        request = make_request(name=f"r{number}")
        drawn = fraction_of(PermitRequest(None, request, 0.0), b"yield")
        if (drawn < 1 / PROTECTED_EVERY) is protected:
            return request.request_id
        number += 1


@pytest.mark.parametrize(
    ("asked", "served"),
    [
        # A request of a low rank must not go first by having come first.
        (
            [("a", "x", 2), ("b", "y", 0), ("c", "z", 1)],
            ["b", "c", "a"],
        ),
        # The account's priority must win over the route's, which is 1 here.
        ([("a", "x", 2), ("b", "y", None)], ["b", "a"]),
        # An account with many requests must not delay another of its rank.
        (
            [("a", "x", 1), ("b", "x", 1), ("c", "x", 1), ("d", "y", 1)],
            ["a", "d", "b", "c"],
        ),
    ],
)
async def test_order_on_one_host(autojump_clock, asked, served):
    harness = make_harness(standing_queue_seconds=100)
    route = make_route(priority=1)
    async with trio.open_nursery() as nursery:
        await fill(harness, nursery, ["first"], route=route)
        for name, account, rank in asked:
            await fill(
                harness,
                nursery,
                [name],
                route=route,
                account=make_account(account, rank),
            )
        for _ in range(len(asked) + 1):
            await trio.testing.wait_all_tasks_blocked()
            harness.answer()
    assert harness.served == ["first", *served]


async def test_rank_goes_before_whether_in_time(autojump_clock):
    """Guards against a late request of a high rank behind those of low rank."""
    harness = make_harness(standing_queue_seconds=100)
    route = make_route(target_latency_seconds=0.4)
    harness.admission._service_queue(route.service).note_latency(0.2)
    high, low = make_account("high", 0), make_account("low", 1)
    async with trio.open_nursery() as nursery:
        await fill(harness, nursery, ["first"], route=route)
        await fill(harness, nursery, ["late"], route=route, account=high)
        await trio.sleep(0.3)
        await fill(harness, nursery, ["low"], route=route, account=low)
        await fill(harness, nursery, ["in time"], route=route, account=high)
        for _ in range(4):
            harness.answer(0.2)
            await trio.testing.wait_all_tasks_blocked()
    assert harness.served == ["first", "in time", "late", "low"]


async def test_order_without_accounts_has_no_ranks(autojump_clock):
    """Guards against another order where no account is configured."""
    harness = make_harness(standing_queue_seconds=100)
    async with trio.open_nursery() as nursery:
        await fill(harness, nursery, "ab", route=make_route("r", priority=2))
        await fill(harness, nursery, "c", route=make_route("s", priority=0))
        for _ in range(3):
            await trio.testing.wait_all_tasks_blocked()
            harness.answer()
    assert harness.served == ["a", "b", "c"]


@pytest.mark.parametrize(
    ("rank", "highest", "protected", "wait"),
    [
        (0, 0, False, 0.0),
        (1, 0, False, RANK_YIELD_SECONDS),
        (9, 0, False, MAX_RANK_YIELD_SECONDS),
        # A slot must not stay empty for ranks that have no requests.
        (2, 2, False, 0.0),
        # One in four requests must not yield, so that no rank starves.
        (9, 0, True, 0.0),
    ],
)
async def test_freed_slot_is_left_to_higher_ranks_of_other_hosts(
    autojump_clock, rank, highest, protected, wait
):
    harness = make_harness(limit=2)
    route = make_route(target_latency_seconds=10)
    # The hosts take turns at the target's free slots.
    harness.targets[0].free_slot_at = Deadline(0.001)
    await trio.sleep(1.0)
    name = name_of(protected)
    async with trio.open_nursery() as nursery:
        await fill(
            harness,
            nursery,
            ["first", "second"],
            route=route,
            account=make_account("seen", highest),
        )
        await fill(
            harness,
            nursery,
            [name],
            route=route,
            account=make_account("own", rank),
        )
        # Not a protected turn on the host itself.
        harness.admission._service_queue(route.service).ranks.grants = 4
        freed_at = trio.current_time()
        harness.answer(0.2)
        while name not in harness.served:
            await trio.sleep(0.0005)
        took = trio.current_time() - freed_at
        assert wait <= took <= wait + 0.001
        nursery.cancel_scope.cancel()


def waiter_of(name, account, route, now):
    request = make_request(name=name)
    request.account = account
    return Waiter(PermitRequest(route, request, request.deadline), now)


def play_fleet(asked, rounds, rng, host_count=HOSTS):
    """Return the share of requests served, by account.

    Each host holds one request; one slot becomes free in each round, and the
    host that comes first by its turn and its yield takes it. A request that
    has waited too long is replaced.
    """
    order = RankOrder()
    route = make_route(target_latency_seconds=1.0)
    accounts = [make_account(name, rank) for name, rank, _ in asked]
    weights = [weight for _, _, weight in asked]
    counts = {account.id: [0, 0] for account in accounts}
    number = 0

    def arrive(now):
        nonlocal number
        number += 1
        account = rng.choices(accounts, weights)[0]
        waiter = waiter_of(f"r{number}", account, route, now)
        waiter.wanted.request.arrived = now
        counts[account.id][0] += 1
        order.note_arrival(waiter.wanted, now)
        return waiter

    held = [arrive(Deadline(0.0)) for _ in range(host_count)]
    for step in range(rounds):
        now = Deadline(step * 0.05)
        turns = rng.sample(range(host_count), host_count)

        def taken_at(host, turns=turns, now=now):
            wanted = held[host].wanted
            wait = order.yield_seconds(wanted, now)
            return turns[host] * TURN_SECONDS + wait

        winner = min(range(host_count), key=taken_at)
        counts[held[winner].wanted.request.account.id][1] += 1
        held[winner] = arrive(now)
        for host in range(host_count):
            # Of what is asked for, about two in five are served in time.
            if now - held[host].since > 0.4:
                held[host] = arrive(now)
    return {name: got / asks for name, (asks, got) in counts.items() if asks}


@pytest.mark.parametrize(
    ("asked", "highest"),
    [
        ([("a", 0, 1), ("b", 1, 1), ("c", 2, 1)], "a"),
        ([("a", 0, 1), ("b", 1, 5), ("c", 3, 1)], "a"),
        ([("a", 0, 8), ("b", 1, 1), ("c", 9, 1)], "a"),
    ],
)
async def test_no_rank_starves_between_hosts(autojump_clock, asked, highest):
    """Guards against low ranks that yield at every slot of an overload."""
    shares = play_fleet(asked, 6000, random.Random(5))
    mean = sum(shares[n] * w for n, _, w in asked) / sum(w for _, _, w in asked)
    assert min(shares.values()) >= MIN_SERVED_RATIO * mean
    assert shares[highest] == max(shares.values())
    assert shares[highest] > 1.1 * mean


@pytest.mark.parametrize(
    "asked",
    [
        [("a", 0, 1.0), ("b", 1, 1.0), ("c", 2, 0.4)],
        [("a", 0, 2.0), ("b", 0, 0.2), ("c", 9, 0.2)],
        [("a", 0, 0.3), ("b", 1, 2.0), ("c", 1, 0.1), ("d", 5, 0.5)],
    ],
)
async def test_no_account_or_rank_starves_on_one_host(autojump_clock, asked):
    """Guards against strict ranks: twice as much is asked as can be run."""
    rng = random.Random(3)
    order = RankOrder()
    route = make_route(target_latency_seconds=1.0)
    counts = {name: [0, 0] for name, _, _ in asked}
    waiting = []
    for step in range(4000):
        now = Deadline(step * 0.05)
        for name, rank, weight in asked:
            if rng.random() < weight / 1.2:
                waiter = waiter_of("r", make_account(name, rank), route, now)
                waiter.wanted.request.arrived = now
                counts[name][0] += 1
                order.note_arrival(waiter.wanted, now)
                waiting.append(waiter)
        waiting = [each for each in waiting if now - each.since < 1.0]
        served = order.candidates(
            waiting, Order.OLDEST_FIRST, lambda _: True, now
        )
        if served:
            order.note_served(served[0].wanted, now)
            counts[served[0].wanted.request.account.id][1] += 1
            waiting.remove(served[0])
    mean = sum(s for _, s in counts.values()) / sum(
        a for a, _ in counts.values()
    )
    ratios = {name: got / asks for name, (asks, got) in counts.items()}
    assert min(ratios.values()) >= MIN_SERVED_RATIO * mean
    # No lower rank gets more of what it asks for than rank 0.
    ranks = {name: rank for name, rank, _ in asked}
    highest = min(ratios[name] for name, rank in ranks.items() if rank == 0)
    assert highest >= max(ratios[name] for name, rank in ranks.items() if rank)
