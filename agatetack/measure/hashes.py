"""Identify targets in messages between hosts by hashes of their names."""

from collections.abc import Set

import xxhash

from agatetack.ids import ProcessId
from agatetack.targets.registry import TargetRegistry
from agatetack.targets.state import TargetState


class TargetHashes:
    """Finds targets by their hashes.

    Attributes:
        by_hash: The targets of the registry, as of `changes`.
        changes: The registry's change count at which `by_hash` was built.
    """

    def __init__(self, registry: TargetRegistry):
        """Look up the targets of `registry`."""
        self.registry = registry
        self.by_hash: dict[int, TargetState] = {}
        self.changes = -1

    def find(self, number: int) -> TargetState | None:
        """Return the target, or None if this host does not know it."""
        self._update()
        return self.by_hash.get(number)

    def known(self) -> Set[int]:
        """Return the hashes of all targets."""
        self._update()
        return self.by_hash.keys()

    def _update(self) -> None:
        if self.changes == self.registry.changes:
            return
        self.changes = self.registry.changes
        self.by_hash = {
            target_hash(process): target
            for process, target in self.registry.by_process.items()
        }


def target_hash(process: ProcessId) -> int:
    """Return the hash of one instance of a target: a signed xxhash32.

    Reports of an earlier instance match no target of the receiver.
    """
    unsigned = xxhash.xxh32_intdigest(process.encode())
    return unsigned - 2**32 if unsigned >= 2**31 else unsigned
