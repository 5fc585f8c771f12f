"""Remember many keys that are done, in few bytes each.

A done key never changes again, so a digest, a status and a time suffice.
Keys are kept in generations; one is dropped whole when its last key expires.
"""

import array
import collections
import dataclasses

GENERATIONS = 16
"""Full generations that together hold all keys a partition may have."""

SPAN_SHARE = 0.25
"""Part of the time keys are kept, after which a generation is closed."""

SLOTS_PER_KEY = 1.5
"""Slots of a generation's table for each of its keys."""

STATUS_BITS = 16
FINGERPRINT_BYTES = 6
ID_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class DoneKey:
    """What is remembered of a key that is done.

    Attributes:
        status: The HTTP status of the answer.
        fingerprint: The first bytes of the request's digest.
    """

    status: int
    fingerprint: bytes

    def differs(self, fingerprint: bytes | None) -> bool:
        """Return whether a request with `fingerprint` is another one."""
        if not fingerprint or not any(self.fingerprint):
            return False
        return fingerprint[:FINGERPRINT_BYTES] != self.fingerprint


class Generation:
    """An open-addressing table of keys that were done at about one time.

    Attributes:
        count: Keys in it.
        first_ms: When its first key expires, by the log's clock.
        last_ms: When its last key expires.
    """

    def __init__(self, capacity: int, first_ms: int):
        """Make room for `capacity` keys."""
        self.capacity = capacity
        self.size = int(capacity * SLOTS_PER_KEY) + 1
        self.ids = array.array("Q", bytes(8 * self.size))
        self.values = array.array("Q", bytes(8 * self.size))
        self.count = 0
        self.first_ms = first_ms
        self.last_ms = first_ms

    def add(self, number: int, value: int) -> None:
        """Remember `value` for the key `number`, which is not in it."""
        slot = number % self.size
        while self.ids[slot]:
            slot = (slot + 1) % self.size
        self.ids[slot] = number
        self.values[slot] = value
        self.count += 1

    def find(self, number: int) -> int | None:
        """Return what is remembered for the key `number`, or None."""
        ids = self.ids
        slot = number % self.size
        while found := ids[slot]:
            if found == number:
                return self.values[slot]
            slot = (slot + 1) % self.size
        return None


class DoneKeys:
    """The done keys of one partition."""

    def __init__(self, max_keys: int, keep_ms: int):
        """Expect up to `max_keys` keys, each kept for `keep_ms`."""
        self.capacity = max(1, -(-max_keys // GENERATIONS))
        self.span_ms = int(keep_ms * SPAN_SHARE)
        self.generations: collections.deque[Generation] = collections.deque()
        self.count = 0

    def __len__(self) -> int:
        """Return the number of keys."""
        return self.count

    def add(
        self, key: bytes, fingerprint: bytes, status: int, expires_ms: int
    ) -> None:
        """Remember a key that is not known yet."""
        generation = self._open_generation(expires_ms)
        prefix = int.from_bytes(
            fingerprint[:FINGERPRINT_BYTES].ljust(FINGERPRINT_BYTES, b"\0")
        )
        generation.add(_number(key), prefix << STATUS_BITS | status)
        generation.last_ms = max(generation.last_ms, expires_ms)
        self.count += 1

    def find(self, key: bytes) -> DoneKey | None:
        """Return what is known of `key`, or None."""
        number = _number(key)
        for generation in self.generations:
            value = generation.find(number)
            if value is not None:
                prefix = value >> STATUS_BITS
                return DoneKey(
                    value & ((1 << STATUS_BITS) - 1),
                    prefix.to_bytes(FINGERPRINT_BYTES),
                )
        return None

    def forget(self, now_ms: int) -> None:
        """Drop the generations whose keys have all expired."""
        while self.generations and self.generations[0].last_ms < now_ms:
            self.count -= self.generations.popleft().count

    def _open_generation(self, expires_ms: int) -> Generation:
        if self.generations:
            newest = self.generations[-1]
            full = newest.count >= newest.capacity
            if not full and expires_ms < newest.first_ms + self.span_ms:
                return newest
        generation = Generation(self.capacity, expires_ms)
        self.generations.append(generation)
        return generation


def _number(key: bytes) -> int:
    """Return what stands for `key`; 0 marks a free slot."""
    return int.from_bytes(key[:ID_BYTES]) or 1
