"""Test the limits of the byte budget for each kind of frame."""

import pytest

from agatetack.ids import Deadline
from agatetack.peers.budget import ByteBudget, peers_budget

RATE = 1000.0


@pytest.mark.parametrize(
    ("take", "most"),
    [
        (ByteBudget.take_control, RATE),
        (ByteBudget.take_chunk, RATE * 0.75),
        (ByteBudget.take_publish, RATE * 0.5),
        (ByteBudget.take_announcement, RATE * 0.1),
    ],
)
def test_each_kind_leaves_the_bytes_of_those_before_it(take, most):
    budget = peers_budget(RATE)
    granted = sum(10 for _ in range(200) if take(budget, 10, Deadline(0.0)))
    assert granted == most
    # The rest can be used, and only refills add more.
    assert budget.take_control(int(RATE - most), Deadline(0.0))
    assert not budget.take_control(1, Deadline(0.0))
    assert budget.take_control(100, Deadline(0.1))
    # The bucket never holds the bytes of more than one second.
    assert not budget.take_control(int(RATE) + 1, Deadline(1000.0))


def test_piece_is_granted_when_foretold():
    budget = peers_budget(RATE)
    while budget.take_chunk(50, Deadline(0.0)):
        pass
    at = budget.chunk_available_at(50, Deadline(0.0))
    assert not budget.take_chunk(50, Deadline(at - 0.01))
    assert budget.take_chunk(50, at)
