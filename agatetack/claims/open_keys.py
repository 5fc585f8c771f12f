"""Track this host's own attempts until its fold contains their claims."""

import dataclasses

import trio

from agatetack.claims.partition import Partition
from agatetack.ids import Deadline

MAX_BLOCKED_KEYS = 20_000
"""Most keys that are refused because another host answered "not run"."""


@dataclasses.dataclass(slots=True)
class OpenKey:
    """A key with an attempt on this host.

    Attributes:
        partition: The key's partition.
        granted_at: When its claim was granted, or None while undecided.
    """

    partition: int
    granted_at: Deadline | None = None


class OpenKeys:
    """Keys with open attempts on this host, and keys that it must refuse."""

    def __init__(self) -> None:
        """Start without keys."""
        self.opened: dict[bytes, OpenKey] = {}
        self.blocked_until: dict[bytes, Deadline] = {}

    def open(self, key: bytes, partition: int) -> None:
        """Record that an attempt of `key` begins."""
        self.opened[key] = OpenKey(partition)

    def close(self, key: bytes) -> None:
        """Record that the attempt was not permitted to run."""
        self.opened.pop(key, None)

    def mark_granted(self, key: bytes) -> None:
        """Record that the attempt runs; the fold will contain its claim."""
        opened = self.opened.get(key)
        if opened is not None:
            opened.granted_at = Deadline(trio.current_time())

    def is_open(self, key: bytes, partition: Partition) -> bool:
        """Return whether an attempt of `key` is open."""
        opened = self.opened.get(key)
        return opened is not None and not _is_folded(opened, partition)

    def purge(self, partition: Partition) -> None:
        """Drop granted keys whose claims the fold must contain by now."""
        seen = [
            key
            for key, opened in self.opened.items()
            if opened.partition == partition.number
            and _is_folded(opened, partition)
        ]
        for key in seen:
            del self.opened[key]

    def block_earlier(self, key: bytes) -> bool:
        """Refuse requests for `key` that have arrived by now.

        Returns:
            Whether the key is blocked; False if too many keys are.
        """
        if (
            len(self.blocked_until) >= MAX_BLOCKED_KEYS
            and key not in self.blocked_until
        ):
            return False
        self.blocked_until[key] = Deadline(trio.current_time())
        return True

    def is_blocked(self, key: bytes, arrived: Deadline) -> bool:
        """Return whether a request that arrived at `arrived` is refused."""
        at = self.blocked_until.get(key)
        return at is not None and arrived <= at

    def purge_blocks(self, before: Deadline) -> None:
        """Drop blocks that only apply to requests from before `before`."""
        old = [key for key, at in self.blocked_until.items() if at < before]
        for key in old:
            del self.blocked_until[key]


def _is_folded(opened: OpenKey, partition: Partition) -> bool:
    """Return whether a read begun after the grant reached the end."""
    if opened.granted_at is None:
        return False
    return opened.granted_at < partition.last_complete_read_at
