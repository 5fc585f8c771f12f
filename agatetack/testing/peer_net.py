"""Connect exchanges in memory, with scripted faults and a test's clock."""

import trio
import trio.testing

from agatetack.clock import FixedClock
from agatetack.hosts.host_list import ListedHost
from agatetack.ids import HostId
from agatetack.metrics import Metrics
from agatetack.peers.exchange import Topic
from agatetack.peers.mesh import PeerExchange
from agatetack.settings.defaults import default_settings
from agatetack.testing.peer_fleet import LOOPBACK, StaticDirectory, listed

Direction = tuple[HostId, HostId]
"""From one host to another."""


class PeerNet:
    """The network between the hosts of one test.

    Attributes:
        hosts: The running exchange of each host.
        heard: What each host was published: topic, origin and payload.
        lossy: Directions in which bytes, and ends of connections, are lost.
        held: Directions in which bytes wait.
        refused: Hosts to which, from which, no connection can be opened.
    """

    def __init__(self, nursery: trio.Nursery, **peers: object):
        """Start hosts in `nursery`, with settings of the `peers` section."""
        self.nursery = nursery
        self.peers = peers
        self.directory = StaticDirectory()
        self.by_port: dict[int, PeerExchange] = {}
        self.hosts: dict[HostId, PeerExchange] = {}
        self.heard: dict[HostId, list] = {}
        self.scopes: dict[HostId, trio.CancelScope] = {}
        self.lossy: set[Direction] = set()
        self.held: set[Direction] = set()
        self.refused: set[Direction] = set()
        self.dead_connections: set[int] = set()
        self.connections: dict[int, frozenset[HostId]] = {}
        self.wall = FixedClock()

    async def start(
        self, name: str, domain: str = "domain-a", **peers: object
    ) -> PeerExchange:
        """Start a host, or a later incarnation of one, and list it."""
        self.wall.wall_time += 1
        settings = default_settings(
            host={"id": name, "failure_domain": domain},
            peers={"listen": {"port": 0}, **self.peers, **peers},
        )
        host = PeerExchange(settings, self.directory, Metrics(), self.wall)
        self.hosts[host.own] = host
        self.heard[host.own] = []
        for topic in Topic:
            host.subscribe(topic, self._keeper(host.own, topic))
        await self.resume(host)
        return host

    async def resume(self, host: PeerExchange) -> None:
        """Run `host`, which has been made or stopped before, and list it."""
        host.connector.open_stream = self._opener(host.own)
        self.scopes[host.own] = trio.CancelScope()
        await self.nursery.start(self._run, host, self.scopes[host.own])
        self.by_port[host.port] = host
        others = [h for h in self.directory.hosts if h.id != host.own]
        self.directory.replace([*others, listed(host)])

    def stop(self, name: HostId) -> PeerExchange:
        """Stop a host without a word; it stays listed."""
        host = self.hosts[name]
        self.scopes[name].cancel()
        del self.by_port[host.port]
        return host

    def unlist(self, name: HostId) -> None:
        """Drop a host from the platform's list."""
        kept: list[ListedHost] = self.directory.hosts
        self.directory.replace([h for h in kept if h.id != name])

    def cut(self, one: HostId, other: HostId) -> None:
        """Lose all between two hosts, and refuse new connections."""
        both = {(one, other), (other, one)}
        self.lossy |= both
        self.refused |= both

    def heal(self) -> None:
        """End all faults of directions."""
        for faults in (self.lossy, self.held, self.refused):
            faults.clear()

    def silence(self, one: HostId, other: HostId) -> None:
        """Lose all on the open connections of two hosts, not on new ones."""
        pair = frozenset((one, other))
        self.dead_connections |= {
            number for number, ends in self.connections.items() if ends == pair
        }

    async def _run(
        self,
        host: PeerExchange,
        scope: trio.CancelScope,
        task_status: trio.TaskStatus[int],
    ) -> None:
        with scope:
            await host.run(task_status)

    def _keeper(self, name: HostId, topic: Topic):
        heard = self.heard[name]

        def keep(origin: HostId, payload: bytes) -> None:
            heard.append((topic, origin, payload))

        return keep

    def _opener(self, name: HostId):
        async def open_stream(ip: str, port: int) -> trio.abc.Stream:
            await trio.lowlevel.checkpoint()
            host = self.by_port.get(port)
            if host is None or (name, host.own) in self.refused:
                raise OSError("scripted: refused")
            return self._connect(name, host)

        return open_stream

    def _connect(self, name: HostId, host: PeerExchange) -> trio.abc.Stream:
        number = len(self.connections)
        self.connections[number] = frozenset((name, host.own))
        near, near_net = trio.testing.memory_stream_pair()
        far, far_net = trio.testing.memory_stream_pair()
        start = self.nursery.start_soon
        start(self._pump, near_net, far_net, (name, host.own), number)
        start(self._pump, far_net, near_net, (host.own, name), number)
        host.calls.nursery.start_soon(
            host.connector.serve_accepted, far, LOOPBACK
        )
        return near

    async def _pump(
        self,
        source: trio.StapledStream,
        sink: trio.StapledStream,
        direction: Direction,
        number: int,
    ) -> None:
        while True:
            try:
                data = await source.receive_stream.receive_some()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            while direction in self.held:
                await trio.sleep(0.01)
            lost = direction in self.lossy or number in self.dead_connections
            if data and lost:
                continue
            if not data:
                if not lost:
                    sink.send_stream.close()
                return
            try:
                await sink.send_stream.send_all(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                # As with a reset, the sender learns that nobody listens.
                source.receive_stream.close()
                return


def closed(host: PeerExchange, reason: str) -> int:
    """Return how many connections `host` closed for `reason`."""
    return host.counters.closed.get({"reason": reason})


def dropped(host: PeerExchange, reason: str) -> int:
    """Return how many frames or messages `host` dropped for `reason`."""
    try:
        return host.metrics.dropped.get({"part": "peers", "reason": reason})
    except KeyError:
        return 0
