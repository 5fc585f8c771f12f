"""Run several exchanges in one process, for tests and benches."""

from collections.abc import Callable, Sequence

import trio

from agatetack.clock import SystemClock
from agatetack.hosts.host_list import HostRole, HostState, ListedHost
from agatetack.ids import HostId, ServiceId
from agatetack.metrics import Metrics
from agatetack.peers.exchange import GatewayDirectory
from agatetack.peers.mesh import PeerExchange
from agatetack.settings.defaults import default_settings

LOOPBACK = "127.0.0.1"
"""Where all hosts of a test fleet are."""


class StaticDirectory(GatewayDirectory):
    """A list that its user sets by hand.

    Attributes:
        hosts: The entries.
    """

    def __init__(self, hosts: Sequence[ListedHost] = ()):
        """List `hosts`."""
        self.hosts = list(hosts)
        self.callbacks: list[Callable[..., None]] = []

    def gateways(self) -> Sequence[ListedHost]:
        """Return the entries."""
        return self.hosts

    def on_change(self, callback: Callable[..., None]) -> None:
        """Keep `callback` for the next `replace`."""
        self.callbacks.append(callback)

    def replace(self, hosts: Sequence[ListedHost]) -> None:
        """List `hosts` and tell who asked."""
        self.hosts = list(hosts)
        for callback in self.callbacks:
            callback()


def new_exchange(
    name: str, directory: StaticDirectory, domains: int = 3, **peers: object
) -> PeerExchange:
    """Return an exchange for one host of a test fleet.

    Args:
        name: The host's id; it ends in a number.
        directory: The list that it sees.
        domains: How many failure domains the fleet has.
        **peers: Settings of the `peers` section.
    """
    number = int("".join(c for c in name if c.isdigit()) or 0)
    domain = f"domain-{number % domains}"
    listen = {"ip": LOOPBACK, "port": 0}
    settings = default_settings(
        host={"id": name, "failure_domain": domain},
        peers={"listen": listen, **peers},
    )
    return PeerExchange(settings, directory, Metrics(), SystemClock())


def listed(exchange: PeerExchange, port: int | None = None) -> ListedHost:
    """Return the list's entry of `exchange`, at another port if given."""
    return ListedHost(
        id=exchange.own,
        role=HostRole.GATEWAY,
        state=HostState.LIVE,
        ip=LOOPBACK,
        port=exchange.port if port is None else port,
        failure_domain=exchange.failure_domain,
        service=ServiceId(""),
    )


async def start_fleet(
    nursery: trio.Nursery,
    names: Sequence[str],
    domains: int = 3,
    **peers: object,
) -> dict[HostId, PeerExchange]:
    """Start one exchange for each name and list them all to each."""
    directory = StaticDirectory()
    fleet = {}
    for name in names:
        exchange = new_exchange(name, directory, domains, **peers)
        await nursery.start(exchange.run)
        fleet[exchange.own] = exchange
    directory.replace([listed(exchange) for exchange in fleet.values()])
    return fleet
