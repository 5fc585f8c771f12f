"""Test that splits follow their weights."""

import collections
import dataclasses

import pytest

from agatetack.config.route import SplitPart
from agatetack.ids import ServiceId
from agatetack.serving.split import Splitter
from agatetack.testing.targets import make_route


def split_route(*weights):
    parts = tuple(
        SplitPart(ServiceId(f"s{number}"), weight)
        for number, weight in enumerate(weights)
    )
    return dataclasses.replace(make_route(), split=parts)


def test_a_route_without_a_split_stays_as_it_is():
    route = make_route()
    assert Splitter(1).choose(route) is route


@pytest.mark.parametrize("weights", [(90, 10), (1, 1, 1), (0.7, 0.3), (5, 0)])
@pytest.mark.parametrize("count", [20, 200, 1000])
def test_any_run_of_requests_holds_the_weights(weights, count):
    route, splitter = split_route(*weights), Splitter(1)
    seen = collections.Counter(
        splitter.choose(route).service for _ in range(count)
    )
    for number, weight in enumerate(weights):
        wanted = count * weight / sum(weights)
        assert abs(seen[f"s{number}"] - wanted) <= 1.5


def test_hosts_do_not_choose_in_step():
    route = split_route(9, 1)
    first = []
    for seed in range(40):
        splitter = Splitter(seed)
        turns = [splitter.choose(route).service for _ in range(10)]
        first.append(turns.index("s1"))
    assert len(set(first)) > 4


def test_new_weights_hold_at_once():
    splitter = Splitter(1)
    for _ in range(10):
        splitter.choose(split_route(90, 10))
    changed = split_route(10, 90)
    seen = collections.Counter(
        splitter.choose(changed).service for _ in range(100)
    )
    assert abs(seen["s1"] - 90) <= 1.5
