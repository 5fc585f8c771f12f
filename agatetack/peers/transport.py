"""Open and accept connections with peers, with or without TLS."""

import abc
import socket

import trio

from agatetack.late import LateModule
from agatetack.metrics import Metrics
from agatetack.settings.model import PeersSettings
from agatetack.streams import PlainStream, open_plain_stream

tls = LateModule("agatetack.tls")


class Transport(abc.ABC):
    """Opens and accepts connections between two hosts."""

    @abc.abstractmethod
    async def open(self, ip: str, port: int) -> trio.abc.Stream:
        """Return a connection to a peer.

        Raises:
            OSError: The connection failed.
        """

    @abc.abstractmethod
    def accept(self, stream: trio.abc.Stream) -> trio.abc.Stream:
        """Return the stream to use for an accepted connection."""

    @abc.abstractmethod
    async def run(self) -> None:
        """Run the background tasks of the transport until cancelled."""


class PlainTransport(Transport):
    """TCP without TLS, for private networks.

    Links use `PlainStream`: a host in a fleet of 18 receives about 550 messages
    a second, and trio's streams make one unnecessary socket call for each.

    Attributes:
        source_ip: Where connections come from; empty for the kernel's choice.
    """

    def __init__(self, settings: PeersSettings):
        """Connect as `settings` require.

        Without a shared key, peers accept connections from listed addresses
        only, and on a machine with several addresses the kernel may choose
        another one.
        """
        listen = settings.listen
        self.source_ip = ""
        if settings.shared_key is None and not listen.ip.is_unspecified:
            self.source_ip = listen.host

    async def open(self, ip: str, port: int) -> trio.abc.Stream:
        """Return a connection to a peer."""
        return await open_plain_stream(ip, port, self.source_ip)

    def accept(self, stream: trio.abc.Stream) -> trio.abc.Stream:
        """Return a `PlainStream` on the connection's socket."""
        if not isinstance(stream, trio.SocketStream):
            return stream
        sock = socket.socket(fileno=stream.socket.detach())
        sock.setblocking(False)
        return PlainStream(sock)

    async def run(self) -> None:
        """Do nothing."""


class TlsTransport(Transport):
    """Mutual TLS with certificates of the fleet's certificate authority."""

    def __init__(self, settings: PeersSettings, metrics: Metrics):
        """Load the files of `settings.tls`.

        Raises:
            TlsFilesError: The files are unusable, or there is no certificate
                authority.
        """
        self.client = tls.ClientTls(settings.tls, "peers_dial", metrics)
        self.server = tls.ServerTls(settings.tls, "peers", metrics)

    async def open(self, ip: str, port: int) -> trio.abc.Stream:
        """Return a connection; TLS is negotiated when the hello is sent."""
        return await self.client.open_stream(ip, port)

    def accept(self, stream: trio.abc.Stream) -> trio.abc.Stream:
        """Return the TLS connection on `stream`."""
        return self.server.accept_stream(stream)

    async def run(self) -> None:
        """Reload the files whenever they change."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.client.run)
            nursery.start_soon(self.server.run)


def make_transport(settings: PeersSettings, metrics: Metrics) -> Transport:
    """Return the transport that `settings` require."""
    if settings.tls is None:
        return PlainTransport(settings)
    return TlsTransport(settings, metrics)
