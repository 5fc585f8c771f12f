"""Track the store's generation, which rises whenever the store lost records.

A store that is restored from an older copy has lost the records that it
acknowledged after the copy was made. It then assigns the same offsets again to
other records, so an offset is meaningful only together with its generation.
"""

import dataclasses
import enum
from collections.abc import Callable

import trio

from agatetack.decisions import DecisionLog
from agatetack.ids import Deadline, StoreGeneration
from agatetack.metrics import Metrics

UNKNOWN_GENERATION = StoreGeneration(-1)
"""The generation while the store has reported none; sorts before all others."""

MAX_GENERATION = 10**12
"""Highest generation that is accepted."""

MAX_TEXT_BYTES = 13
"""Longest header value that is parsed as a generation."""

log = DecisionLog("keyed")


class GenerationSource(enum.Enum):
    """How a host learned of a generation."""

    REPLY = "reply"
    PEER = "peer"
    SEED = "seed"


class GenerationProblem(enum.Enum):
    """Why a reported generation was rejected."""

    EMPTY = "empty"
    REPEATED = "repeated"
    TOO_LONG = "too-long"
    NOT_A_NUMBER = "not-a-number"
    OUT_OF_RANGE = "out-of-range"
    LOWER = "lower"


@dataclasses.dataclass(frozen=True, slots=True)
class ReadGeneration:
    """The generation that one reply of the store reports.

    Attributes:
        generation: The generation; None if the reply has no valid one.
        problem: Why the reported value was rejected, or None.
    """

    generation: StoreGeneration | None = None
    problem: GenerationProblem | None = None


def read_generation(text: bytes | None) -> ReadGeneration:
    """Parse the generation header field of a reply.

    Args:
        text: The value, with repeated fields joined by commas; None if the
            field is absent.
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
    """The newest generation of the store that this host knows of.

    Attributes:
        newest: The newest known generation, or `UNKNOWN_GENERATION`.
        learned_at: When this host learned of it; None if it knows none.
        watchers: Called after each new generation; must not block or raise.
    """

    def __init__(self, metrics: Metrics):
        """Start without a known generation; count in `metrics`."""
        self.newest = UNKNOWN_GENERATION
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
        """Accept a reported generation if it is newer than the known one.

        Args:
            generation: The generation.
            source: How this host learned of it.
            origin: The store call or the host that reported it.
        """
        if generation == UNKNOWN_GENERATION or generation <= self.newest:
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
            before=None if before == UNKNOWN_GENERATION else before,
            source=source.value,
            origin=origin,
        )
        for watcher in self.watchers:
            watcher()

    def refuse(
        self, problem: GenerationProblem, source: GenerationSource, origin: str
    ) -> None:
        """Count and log a rejected generation."""
        self.refused.inc({"problem": problem.value})
        log.note(
            "store-generation-refused",
            problem=problem.value,
            source=source.value,
            origin=origin,
            newest=self.newest,
        )

    def note_reply(
        self, read: ReadGeneration, asked_in: StoreGeneration, call: str
    ) -> StoreGeneration:
        """Process a reply's generation; return the one the reply belongs to.

        A reply without a valid generation is attributed to the newest
        generation that was known when the call was sent.

        Args:
            read: The generation parsed from the reply.
            asked_in: The newest known generation when the call was sent.
            call: The name of the call.
        """
        if read.problem is not None:
            self.refuse(read.problem, GenerationSource.REPLY, call)
            return asked_in
        if read.generation is None:
            return asked_in
        if read.generation < asked_in:
            # The store was in the newer generation before the call was sent.
            self.refuse(GenerationProblem.LOWER, GenerationSource.REPLY, call)
            return asked_in
        self.note(read.generation, GenerationSource.REPLY, call)
        return read.generation
