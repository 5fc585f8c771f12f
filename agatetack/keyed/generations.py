"""Learn in which generation the store is: what it lost begins a new one.

A store that comes back from an older copy has lost what it acknowledged since.
Offsets are then given out again, for other records, so that a position means
something only together with the generation that it was read in.
"""

import dataclasses
import enum
from collections.abc import Callable

import trio

from agatetack.decisions import DecisionLog
from agatetack.ids import Deadline, StoreGeneration
from agatetack.metrics import Metrics

NOT_NAMED = StoreGeneration(-1)
"""The generation of a store that has named none; before all others."""

MAX_GENERATION = 10**12
"""Highest generation that is believed."""

MAX_TEXT_BYTES = 13
"""Longest text that is read as a generation."""

log = DecisionLog("keyed")


class GenerationSource(enum.Enum):
    """How a host learned of a generation."""

    REPLY = "reply"
    PEER = "peer"
    SEED = "seed"


class GenerationProblem(enum.Enum):
    """Why a generation that somebody named is not believed."""

    EMPTY = "empty"
    REPEATED = "repeated"
    TOO_LONG = "too-long"
    NOT_A_NUMBER = "not-a-number"
    OUT_OF_RANGE = "out-of-range"
    LOWER = "lower"


@dataclasses.dataclass(frozen=True, slots=True)
class ReadGeneration:
    """What one reply says of the store's generation.

    Attributes:
        generation: The generation; None if the reply names none.
        problem: Why what it names is not believed, or None.
    """

    generation: StoreGeneration | None = None
    problem: GenerationProblem | None = None


def read_generation(text: bytes | None) -> ReadGeneration:
    """Return what the value of a reply's header field says.

    Args:
        text: The value, those of repeated fields joined by commas; None if
            there is no such field.
    """
    if text is None:
        return ReadGeneration()
    text = text.strip()
    if not text:
        return ReadGeneration(problem=GenerationProblem.EMPTY)
    if b"," in text:
        return ReadGeneration(problem=GenerationProblem.REPEATED)
    if len(text) > MAX_TEXT_BYTES:
        return ReadGeneration(problem=GenerationProblem.TOO_LONG)
    if not text.isdigit():
        return ReadGeneration(problem=GenerationProblem.NOT_A_NUMBER)
    if int(text) > MAX_GENERATION:
        return ReadGeneration(problem=GenerationProblem.OUT_OF_RANGE)
    return ReadGeneration(StoreGeneration(int(text)))


class StoreGenerations:
    """The generation that the store is in, as far as this host has heard.

    Attributes:
        newest: The last generation heard of, or `NOT_NAMED`.
        learned_at: When, or None while there is none.
        watchers: Called after each new generation; must not block or raise.
    """

    def __init__(self, metrics: Metrics):
        """Start with a store that has named none; count in `metrics`."""
        self.newest = NOT_NAMED
        self.learned_at: Deadline | None = None
        self.watchers: list[Callable[[], None]] = []
        self.learned = metrics.counter(
            "agatetack_store_generations_total",
            "Generations of the store that this host learned of, by source.",
        )
        self.refused = metrics.counter(
            "agatetack_store_generation_refused_total",
            "Generations that were named and not believed, by problem.",
        )
        self.shown = metrics.gauge(
            "agatetack_store_generation",
            "Generation of the store; it rises when the store lost records.",
        )

    def note(
        self,
        generation: StoreGeneration,
        source: GenerationSource,
        origin: str,
    ) -> None:
        """Take a generation that somebody named, if it is a later one.

        Args:
            generation: The generation.
            source: How this host learned it.
            origin: The call or the host that it came from.
        """
        if generation == NOT_NAMED or generation <= self.newest:
            return
        if generation > MAX_GENERATION:
            self.refuse(GenerationProblem.OUT_OF_RANGE, source, origin)
            return
        before, self.newest = self.newest, generation
        self.learned_at = Deadline(trio.current_time())
        self.learned.inc({"source": source.value})
        self.shown.set({}, generation)
        log.note(
            "store-generation",
            generation=generation,
            before=None if before == NOT_NAMED else before,
            source=source.value,
            origin=origin,
        )
        for watcher in self.watchers:
            watcher()

    def refuse(
        self, problem: GenerationProblem, source: GenerationSource, origin: str
    ) -> None:
        """Count and log a generation that is not believed."""
        self.refused.inc({"problem": problem.value})
        log.note(
            "store-generation-refused",
            problem=problem.value,
            source=source.value,
            origin=origin,
            newest=self.newest,
        )

    def of_reply(
        self, read: ReadGeneration, asked_in: StoreGeneration, call: str
    ) -> StoreGeneration:
        """Take what a reply says; return the generation that it is of.

        A reply that names none, or one that can't be believed, is of the
        generation that was known when the store was asked.

        Args:
            read: What the reply says.
            asked_in: The newest generation when the store was asked.
            call: The name of the call.
        """
        if read.problem is not None:
            self.refuse(read.problem, GenerationSource.REPLY, call)
            return asked_in
        if read.generation is None:
            return asked_in
        if read.generation < asked_in:
            # The store had been in the later one before it was asked.
            self.refuse(GenerationProblem.LOWER, GenerationSource.REPLY, call)
            return asked_in
        self.note(read.generation, GenerationSource.REPLY, call)
        return read.generation
