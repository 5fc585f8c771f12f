"""Remember this host's own attempts until its fold shows their claims."""

import dataclasses

import trio

from agatetack.claims.partition import Partition
from agatetack.ids import Deadline

MAX_BARS = 20_000
"""Keys that are refused because another host said "not run" of them."""


@dataclasses.dataclass(slots=True)
class OpenKey:
    """One key with an attempt of this host.

    Attributes:
        partition: The key's partition.
        granted_at: When its claim was granted, or None while that is open.
    """

    partition: int
    granted_at: Deadline | None = None


class OpenKeys:
    """Keys that this host is about to run, or that it must not run."""

    def __init__(self) -> None:
        """Know of no key."""
        self.opened: dict[bytes, OpenKey] = {}
        self.bars: dict[bytes, Deadline] = {}

    def open(self, key: bytes, partition: int) -> None:
        """Note that an attempt of `key` begins."""
        self.opened[key] = OpenKey(partition)

    def close(self, key: bytes) -> None:
        """Note that the attempt did not get leave to run."""
        self.opened.pop(key, None)

    def granted(self, key: bytes) -> None:
        """Note that the attempt runs; the fold will tell so."""
        opened = self.opened.get(key)
        if opened is not None:
            opened.granted_at = Deadline(trio.current_time())

    def has(self, key: bytes, partition: Partition) -> bool:
        """Return whether an attempt of `key` is open."""
        opened = self.opened.get(key)
        return opened is not None and not _is_seen(opened, partition)

    def purge(self, partition: Partition) -> None:
        """Drop granted keys whose claims the fold must have seen by now."""
        seen = [
            key
            for key, opened in self.opened.items()
            if opened.partition == partition.number
            and _is_seen(opened, partition)
        ]
        for key in seen:
            del self.opened[key]

    def bar(self, key: bytes) -> bool:
        """Refuse requests for `key` that have arrived by now.

        Returns:
            Whether the bar holds; False if there are too many.
        """
        if len(self.bars) >= MAX_BARS and key not in self.bars:
            return False
        self.bars[key] = Deadline(trio.current_time())
        return True

    def barred(self, key: bytes, arrived: Deadline) -> bool:
        """Return whether a request that came at `arrived` is refused."""
        at = self.bars.get(key)
        return at is not None and arrived <= at

    def purge_bars(self, before: Deadline) -> None:
        """Drop bars against requests that came before `before`."""
        old = [key for key, at in self.bars.items() if at < before]
        for key in old:
            del self.bars[key]


def _is_seen(opened: OpenKey, partition: Partition) -> bool:
    """Return whether a read that began after the grant reached the end."""
    if opened.granted_at is None:
        return False
    return opened.granted_at < partition.current_from
