"""Stand in for the platform's host list, in memory and lagging."""

import dataclasses
from collections import deque
from collections.abc import Sequence

import trio

from agatetack.hosts.host_list import (
    HostList,
    HostListUnavailable,
    ListedHost,
)
from agatetack.ids import Deadline


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingList:
    """A list that fetches return from `due` on."""

    due: Deadline
    hosts: list[ListedHost]


class MemoryHostList(HostList):
    """A list that tests set by hand.

    Attributes:
        hosts: What the next fetch returns.
        outage: Whether every fetch fails.
        delay_seconds: How long each fetch takes.
        pending: Lists that fetches will return later, oldest first.
    """

    def __init__(self, hosts: Sequence[ListedHost] = ()):
        """List `hosts`."""
        self.hosts = list(hosts)
        self.outage = False
        self.delay_seconds = 0.0
        self.pending: deque[_PendingList] = deque()

    def publish(
        self, hosts: Sequence[ListedHost], lag_seconds: float = 0.0
    ) -> None:
        """Change the list; fetches see it `lag_seconds` from now."""
        due = Deadline(trio.current_time() + lag_seconds)
        self.pending.append(_PendingList(due, list(hosts)))

    async def fetch(self, deadline: Deadline) -> Sequence[ListedHost]:
        """Return the entries set last."""
        with trio.move_on_at(deadline):
            await trio.sleep(self.delay_seconds)
        now = trio.current_time()
        if now >= deadline:
            raise HostListUnavailable("scripted delay")
        if self.outage:
            raise HostListUnavailable("scripted outage")
        while self.pending and self.pending[0].due <= now:
            self.hosts = self.pending.popleft().hosts
        return list(self.hosts)
