"""Test which store generations are accepted from replies and peers."""

import pytest

from agatetack.ids import StoreGeneration
from agatetack.keyed.generations import (
    UNKNOWN_GENERATION,
    GenerationProblem,
    GenerationSource,
    ReadGeneration,
    StoreGenerations,
    read_generation,
)
from agatetack.metrics import Metrics


@pytest.mark.parametrize(
    ("text", "generation", "problem"),
    [
        (None, None, None),
        (b"0", 0, None),
        (b" 17 ", 17, None),
        (b"1000000000000", 10**12, None),
        (b"", None, GenerationProblem.EMPTY),
        (b"  ", None, GenerationProblem.EMPTY),
        (b"-1", None, GenerationProblem.NOT_A_NUMBER),
        (b"+1", None, GenerationProblem.NOT_A_NUMBER),
        (b"1.5", None, GenerationProblem.NOT_A_NUMBER),
        (b"1e3", None, GenerationProblem.NOT_A_NUMBER),
        (b"seven", None, GenerationProblem.NOT_A_NUMBER),
        ("\u0664".encode(), None, GenerationProblem.NOT_A_NUMBER),
        (b"4, 5", None, GenerationProblem.REPEATED),
        (b"4, 4", None, GenerationProblem.REPEATED),
        (b"1000000000001", None, GenerationProblem.OUT_OF_RANGE),
        (b"9" * 65536, None, GenerationProblem.TOO_LONG),
    ],
)
def test_a_generation_is_read(text, generation, problem):
    assert read_generation(text) == ReadGeneration(generation, problem)


@pytest.mark.parametrize(
    ("said", "asked_in", "of", "newest"),
    [
        # The store reports its first generation, the same one, a later one.
        (4, UNKNOWN_GENERATION, 4, 4),
        (4, 4, 4, 4),
        (6, 4, 6, 6),
        # The store no longer reports one.
        (None, 4, 4, 4),
        # A late reply of the previous generation.
        (4, 4, 4, 4),
        # A lower one than the store had reported before the call.
        (3, 4, 4, 4),
    ],
)
async def test_a_reply_is_of_a_generation(
    autojump_clock, said, asked_in, of, newest
):
    generations = StoreGenerations(Metrics())
    generations.note(StoreGeneration(asked_in), GenerationSource.SEED, "h1")
    read = ReadGeneration(None if said is None else StoreGeneration(said))
    assert generations.note_reply(read, asked_in, "read") == of
    assert generations.newest == newest


async def test_a_late_reply_is_of_its_own_generation(autojump_clock):
    generations = StoreGenerations(Metrics())
    generations.note(StoreGeneration(5), GenerationSource.PEER, "h1")
    read = ReadGeneration(StoreGeneration(4))
    assert generations.note_reply(read, StoreGeneration(4), "read") == 4
    assert generations.newest == 5


async def test_those_who_watch_are_told_of_each_generation_once(
    autojump_clock,
):
    generations = StoreGenerations(Metrics())
    seen = []
    generations.watchers.append(lambda: seen.append(generations.newest))
    for number in (1, 1, 3, 2, 3, 10**13, 4):
        source = GenerationSource.PEER
        generations.note(StoreGeneration(number), source, "h1")
    assert seen == [1, 3, 4]
