"""Remember many keys that are done, in few bytes each.

A done key never changes again, so its digest, the status, a part of the
request's digest and the expiry time are enough. Keys are grouped into
generations by the time at which their records were written, and a generation
is dropped as a whole.
"""

import array
import collections
import dataclasses
from collections.abc import Iterator

GENERATIONS = 16
"""Number of full generations that hold all keys a partition may have."""

FIRST_SIZE = 256
"""Slots in the table of a new generation."""

MAX_LOAD = 2 / 3
"""Largest share of a table's slots that may be in use."""

STATUS_BITS = 16
FINGERPRINT_BYTES = 6
HALF_BYTES = 8
"""Length of half a key's digest, in bytes."""

MINUTE_MS = 60_000
NO_MINUTE = 0
"""Expiry minute of a key that was moved to a later generation."""


@dataclasses.dataclass(frozen=True, slots=True)
class DoneKey:
    """What is stored of a key that is done.

    Attributes:
        key: The key's digest.
        fingerprint: The first bytes of the request's digest; zeros if
            unknown.
        status: The HTTP status of the answer.
        expires_ms: When the key expires, by the log's clock.
    """

    key: bytes
    fingerprint: bytes
    status: int
    expires_ms: int

    def differs(self, fingerprint: bytes | None) -> bool:
        """Return whether `fingerprint` is that of a different request."""
        if not fingerprint or not any(self.fingerprint):
            return False
        return fingerprint[:FINGERPRINT_BYTES] != self.fingerprint


class Generation:
    """An open-addressing hash table of keys written at about the same time.

    Attributes:
        written_ms: When the record of its first key was written.
        last_ms: When its last key expires.
        taken: Slots in use, also by keys moved to a later generation.
        left: Keys that were not moved to a later generation.
    """

    def __init__(self, written_ms: int):
        """Start with a small table, which grows."""
        self.written_ms = written_ms
        self.last_ms = 0
        self.taken = 0
        self.left = 0
        self._clear(FIRST_SIZE)

    def _clear(self, size: int) -> None:
        self.size = size
        self.firsts = array.array("Q", bytes(HALF_BYTES * size))
        self.seconds = array.array("Q", bytes(HALF_BYTES * size))
        self.values = array.array("Q", bytes(HALF_BYTES * size))
        self.minutes = array.array("I", bytes(4 * size))

    def add(self, done: DoneKey) -> None:
        """Add a key that is not in the table."""
        if self.taken + 1 > self.size * MAX_LOAD:
            self._grow()
        first, second = _halves(done.key)
        slot = self._slot(first, second)
        prefix = int.from_bytes(
            done.fingerprint[:FINGERPRINT_BYTES].ljust(FINGERPRINT_BYTES, b"\0")
        )
        self.firsts[slot] = first
        self.seconds[slot] = second
        self.values[slot] = prefix << STATUS_BITS | done.status
        self.minutes[slot] = -(-done.expires_ms // MINUTE_MS)
        self.last_ms = max(self.last_ms, self.minutes[slot] * MINUTE_MS)
        self.taken += 1
        self.left += 1

    def find(self, first: int, second: int) -> int | None:
        """Return the slot of a key, or None if it is absent or was moved."""
        slot = self._slot(first, second)
        if not self.firsts[slot] or self.minutes[slot] == NO_MINUTE:
            return None
        return slot

    def get(self, slot: int) -> DoneKey:
        """Return the key stored in `slot`."""
        value = self.values[slot]
        first = self.firsts[slot].to_bytes(HALF_BYTES)
        prefix = value >> STATUS_BITS
        return DoneKey(
            first + self.seconds[slot].to_bytes(HALF_BYTES),
            prefix.to_bytes(FINGERPRINT_BYTES),
            value & ((1 << STATUS_BITS) - 1),
            self.minutes[slot] * MINUTE_MS,
        )

    def drop(self, slot: int) -> None:
        """Remove the key in `slot`, which is now in a later generation."""
        self.minutes[slot] = NO_MINUTE
        self.left -= 1

    def kept(self) -> Iterator[DoneKey]:
        """Yield the keys that were not moved to a later generation."""
        for slot in range(self.size):
            if self.firsts[slot] and self.minutes[slot] != NO_MINUTE:
                yield self.get(slot)

    def _slot(self, first: int, second: int) -> int:
        """Return the slot of a key, or a free slot if it is absent."""
        firsts = self.firsts
        slot = first % self.size
        while found := firsts[slot]:
            if found == first and self.seconds[slot] == second:
                break
            slot = (slot + 1) % self.size
        return slot

    def _grow(self) -> None:
        old = zip(
            self.firsts, self.seconds, self.values, self.minutes, strict=True
        )
        self._clear(2 * self.size)
        self.taken = self.left
        for first, second, value, minute in old:
            if first and minute != NO_MINUTE:
                slot = self._slot(first, second)
                self.firsts[slot] = first
                self.seconds[slot] = second
                self.values[slot] = value
                self.minutes[slot] = minute


class DoneKeys:
    """The done keys of one partition: either the dated or the undated ones."""

    def __init__(self, max_keys: int, span_ms: int):
        """Expect up to `max_keys` keys; begin a generation every `span_ms`."""
        self.capacity = max(1, -(-max_keys // GENERATIONS))
        self.span_ms = span_ms
        self.generations: collections.deque[Generation] = collections.deque()

    def __len__(self) -> int:
        """Return the number of keys."""
        return sum(generation.left for generation in self.generations)

    def add(self, done: DoneKey, written_ms: int) -> None:
        """Add a key that is not known yet."""
        self._newest(written_ms).add(done)

    def find(self, key: bytes) -> DoneKey | None:
        """Return the done key with digest `key`, or None."""
        first, second = _halves(key)
        for generation in reversed(self.generations):
            slot = generation.find(first, second)
            if slot is not None:
                return generation.get(slot)
        return None

    def rewrite(self, key: bytes, written_ms: int) -> None:
        """Move a known key that was written again to the newest generation."""
        newest = self._newest(written_ms)
        first, second = _halves(key)
        for generation in self.generations:
            slot = generation.find(first, second)
            if slot is not None and generation is not newest:
                newest.add(generation.get(slot))
                generation.drop(slot)

    def drop_expired(self, now_ms: int) -> None:
        """Drop the generations that hold no unexpired keys."""
        if any(self._is_empty(old, now_ms) for old in self.generations):
            self.generations = collections.deque(
                generation
                for generation in self.generations
                if not self._is_empty(generation, now_ms)
            )

    def due(self, before_ms: int, expires_ms: int, limit: int) -> list[DoneKey]:
        """Return keys that must be written again.

        Args:
            before_ms: Generations begun before this are due.
            expires_ms: Keys that expire before this are left out.
            limit: Most keys to return.
        """
        found: list[DoneKey] = []
        for generation in self.generations:
            if generation.written_ms > before_ms:
                break
            for done in generation.kept():
                if len(found) == limit:
                    return found
                if done.expires_ms >= expires_ms:
                    found.append(done)
        return found

    def _is_empty(self, generation: Generation, now_ms: int) -> bool:
        return not generation.left or generation.last_ms < now_ms

    def _newest(self, written_ms: int) -> Generation:
        if self.generations:
            newest = self.generations[-1]
            full = newest.taken >= self.capacity
            if not full and written_ms < newest.written_ms + self.span_ms:
                return newest
        generation = Generation(written_ms)
        self.generations.append(generation)
        return generation


def _halves(key: bytes) -> tuple[int, int]:
    """Return both halves of a digest; the first is not 0, the free slot."""
    first = int.from_bytes(key[:HALF_BYTES]) or 1
    return first, int.from_bytes(key[HALF_BYTES:])
