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

FULL_GENERATIONS = 16
"""Number of full generations that hold all keys a partition may have."""

INITIAL_SLOTS = 256
"""Slots in the table of a new generation."""

MAX_LOAD_RATIO = 2 / 3
"""Largest share of a table's slots that may be in use."""

STATUS_BITS = 16
FINGERPRINT_PREFIX_BYTES = 6
HALF_DIGEST_BYTES = 8
"""Length of half a key's digest, in bytes."""

MINUTE_MS = 60_000
MOVED_MINUTE = 0
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
        return fingerprint[:FINGERPRINT_PREFIX_BYTES] != self.fingerprint


class Generation:
    """An open-addressing hash table of keys written at about the same time.

    Attributes:
        written_ms: When the record of its first key was written.
        last_expiry_ms: When its last key expires.
        used_slots: Slots in use, also by keys moved to a later generation.
        live_keys: Number of keys that were not moved to a later generation.
    """

    def __init__(self, written_ms: int):
        """Start with a small table, which grows."""
        self.written_ms = written_ms
        self.last_expiry_ms = 0
        self.used_slots = 0
        self.live_keys = 0
        self._allocate(INITIAL_SLOTS)

    def _allocate(self, slot_count: int) -> None:
        self.slot_count = slot_count
        self.high_halves = array.array(
            "Q", bytes(HALF_DIGEST_BYTES * slot_count)
        )
        self.low_halves = array.array(
            "Q", bytes(HALF_DIGEST_BYTES * slot_count)
        )
        self.values = array.array("Q", bytes(HALF_DIGEST_BYTES * slot_count))
        self.expiry_minutes = array.array("I", bytes(4 * slot_count))

    def add(self, done: DoneKey) -> None:
        """Add a key that is not in the table."""
        if self.used_slots + 1 > self.slot_count * MAX_LOAD_RATIO:
            self._grow()
        high, low = _halves(done.key)
        slot = self._find_slot(high, low)
        prefix = int.from_bytes(
            done.fingerprint[:FINGERPRINT_PREFIX_BYTES].ljust(
                FINGERPRINT_PREFIX_BYTES, b"\0"
            )
        )
        self.high_halves[slot] = high
        self.low_halves[slot] = low
        self.values[slot] = prefix << STATUS_BITS | done.status
        self.expiry_minutes[slot] = -(-done.expires_ms // MINUTE_MS)
        self.last_expiry_ms = max(
            self.last_expiry_ms, self.expiry_minutes[slot] * MINUTE_MS
        )
        self.used_slots += 1
        self.live_keys += 1

    def find(self, high: int, low: int) -> int | None:
        """Return the slot of a key, or None if it is absent or was moved."""
        slot = self._find_slot(high, low)
        if (
            not self.high_halves[slot]
            or self.expiry_minutes[slot] == MOVED_MINUTE
        ):
            return None
        return slot

    def get(self, slot: int) -> DoneKey:
        """Return the key stored in `slot`."""
        value = self.values[slot]
        high = self.high_halves[slot].to_bytes(HALF_DIGEST_BYTES)
        prefix = value >> STATUS_BITS
        return DoneKey(
            high + self.low_halves[slot].to_bytes(HALF_DIGEST_BYTES),
            prefix.to_bytes(FINGERPRINT_PREFIX_BYTES),
            value & ((1 << STATUS_BITS) - 1),
            self.expiry_minutes[slot] * MINUTE_MS,
        )

    def remove(self, slot: int) -> None:
        """Remove the key in `slot`, which is now in a later generation."""
        self.expiry_minutes[slot] = MOVED_MINUTE
        self.live_keys -= 1

    def live(self) -> Iterator[DoneKey]:
        """Yield the keys that were not moved to a later generation."""
        for slot in range(self.slot_count):
            if (
                self.high_halves[slot]
                and self.expiry_minutes[slot] != MOVED_MINUTE
            ):
                yield self.get(slot)

    def _find_slot(self, high: int, low: int) -> int:
        """Return the slot of a key, or a free slot if it is absent."""
        high_halves = self.high_halves
        slot = high % self.slot_count
        while found := high_halves[slot]:
            if found == high and self.low_halves[slot] == low:
                break
            slot = (slot + 1) % self.slot_count
        return slot

    def _grow(self) -> None:
        old = zip(
            self.high_halves,
            self.low_halves,
            self.values,
            self.expiry_minutes,
            strict=True,
        )
        self._allocate(2 * self.slot_count)
        self.used_slots = self.live_keys
        for high, low, value, expiry_minute in old:
            if high and expiry_minute != MOVED_MINUTE:
                slot = self._find_slot(high, low)
                self.high_halves[slot] = high
                self.low_halves[slot] = low
                self.values[slot] = value
                self.expiry_minutes[slot] = expiry_minute


class DoneKeys:
    """The done keys of one partition: either the dated or the undated ones."""

    def __init__(self, max_keys: int, span_ms: int):
        """Expect up to `max_keys` keys; begin a generation every `span_ms`."""
        self.capacity = max(1, -(-max_keys // FULL_GENERATIONS))
        self.span_ms = span_ms
        self.generations: collections.deque[Generation] = collections.deque()

    def __len__(self) -> int:
        """Return the number of keys."""
        return sum(generation.live_keys for generation in self.generations)

    def add(self, done: DoneKey, written_ms: int) -> None:
        """Add a key that is not known yet."""
        self._newest(written_ms).add(done)

    def find(self, key: bytes) -> DoneKey | None:
        """Return the done key with digest `key`, or None."""
        high, low = _halves(key)
        for generation in reversed(self.generations):
            slot = generation.find(high, low)
            if slot is not None:
                return generation.get(slot)
        return None

    def move_to_newest(self, key: bytes, written_ms: int) -> None:
        """Move a known key that was written again to the newest generation."""
        newest = self._newest(written_ms)
        high, low = _halves(key)
        for generation in self.generations:
            slot = generation.find(high, low)
            if slot is not None and generation is not newest:
                newest.add(generation.get(slot))
                generation.remove(slot)

    def drop_expired(self, now_ms: int) -> None:
        """Drop the generations that hold no unexpired keys."""
        if any(self._is_disposable(old, now_ms) for old in self.generations):
            self.generations = collections.deque(
                generation
                for generation in self.generations
                if not self._is_disposable(generation, now_ms)
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
            for done in generation.live():
                if len(found) == limit:
                    return found
                if done.expires_ms >= expires_ms:
                    found.append(done)
        return found

    def _is_disposable(self, generation: Generation, now_ms: int) -> bool:
        return not generation.live_keys or generation.last_expiry_ms < now_ms

    def _newest(self, written_ms: int) -> Generation:
        if self.generations:
            newest = self.generations[-1]
            full = newest.used_slots >= self.capacity
            if not full and written_ms < newest.written_ms + self.span_ms:
                return newest
        generation = Generation(written_ms)
        self.generations.append(generation)
        return generation


def _halves(key: bytes) -> tuple[int, int]:
    """Return both halves of a digest; the first is not 0, as 0 is free."""
    high = int.from_bytes(key[:HALF_DIGEST_BYTES]) or 1
    return high, int.from_bytes(key[HALF_DIGEST_BYTES:])
