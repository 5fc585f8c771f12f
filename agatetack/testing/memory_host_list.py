"""Stand in for the platform's host list, in memory and lagging."""

from collections.abc import Sequence

import trio

from agatetack.ids import Deadline
from agatetack.platform.host_list import (
    HostList,
    HostListUnavailable,
    ListedHost,
)


class MemoryHostList(HostList):
    """A list that tests set by hand.

    Attributes:
        hosts: What the next fetch returns.
        outage: Whether every fetch fails.
    """

    def __init__(self, hosts: Sequence[ListedHost] = ()):
        """List `hosts`."""
        self.hosts = list(hosts)
        self.outage = False

    async def fetch(self, deadline: Deadline) -> Sequence[ListedHost]:
        """Return the entries set last."""
        await trio.lowlevel.checkpoint()
        if self.outage:
            raise HostListUnavailable("scripted outage")
        return list(self.hosts)
