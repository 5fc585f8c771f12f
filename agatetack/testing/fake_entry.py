"""Stand in for the platform's entry, which gives callers' connections to hosts.

It asks each host once a second whether it is ready and gives a new connection
to one of those that are; an open connection stays with its host.
"""

import dataclasses
from collections.abc import Awaitable, Callable, Mapping, Sequence

import trio
import xxhash

from agatetack.ids import FailureDomain, HostId

POLL_SECONDS = 1.0
"""Time between two questions to a host."""

MISSES_TO_LEAVE = 2
"""Questions in a row without a 200 after which a host gets no connections."""

LEAST_SHARE = 0.5
"""With less than this share of a failure domain's hosts in rotation, all of
them get connections."""

Ask = Callable[["EntryHost"], Awaitable[bool]]
"""Asks a host whether it is ready; False if it says no or nothing."""


@dataclasses.dataclass(slots=True)
class EntryHost:
    """One host behind the entry.

    Attributes:
        id: Its name.
        failure_domain: Where it is.
        callers_port: Where it takes connections.
        ready_port: Where it is asked.
        misses: Questions without a 200 since the last 200.
    """

    id: HostId
    failure_domain: FailureDomain
    callers_port: int = 0
    ready_port: int = 0
    misses: int = 0

    @property
    def in_rotation(self) -> bool:
        """Return whether the host gets new connections."""
        return self.misses < MISSES_TO_LEAVE

    def note(self, ready: bool) -> None:
        """Take the answer to one question."""
        self.misses = 0 if ready else self.misses + 1


class FakeEntry:
    """Chooses hosts for callers as the platform's pages describe it.

    Attributes:
        hosts: All hosts.
        near: For each failure domain the others, the nearest first.
        ask: How a host is asked.
    """

    def __init__(
        self,
        hosts: Sequence[EntryHost],
        near: Mapping[FailureDomain, Sequence[FailureDomain]],
        ask: Ask,
    ):
        """Ask `hosts` by `ask` once `run` runs."""
        self.hosts = hosts
        self.near = near
        self.ask = ask

    async def run(self) -> None:
        """Ask every host each second until cancelled."""
        async with trio.open_nursery() as nursery:
            for host in self.hosts:
                nursery.start_soon(self._ask_on, host)

    async def _ask_on(self, host: EntryHost) -> None:
        while True:
            next_at = trio.current_time() + POLL_SECONDS
            ready = False
            with trio.move_on_at(next_at):
                ready = await self.ask(host)
            host.note(ready)
            await trio.sleep_until(next_at)

    def candidates(self, domain: FailureDomain) -> Sequence[EntryHost]:
        """Return the hosts that a caller of `domain` may be given."""
        own = self._of(domain)
        ready = [host for host in own if host.in_rotation]
        if ready:
            enough = len(ready) >= LEAST_SHARE * len(own)
            return ready if enough else own
        for other in self.near.get(domain, ()):
            ready = [host for host in self._of(other) if host.in_rotation]
            if ready:
                return ready
        return own

    def choose(self, client: str, domain: FailureDomain) -> EntryHost:
        """Return the host that a client's new connection goes to."""
        found = sorted(self.candidates(domain), key=lambda host: host.id)
        return found[xxhash.xxh32_intdigest(client.encode()) % len(found)]

    def _of(self, domain: FailureDomain) -> Sequence[EntryHost]:
        return [h for h in self.hosts if h.failure_domain == domain]
