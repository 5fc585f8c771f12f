"""Open and accept the connections of links, with or without TLS."""

import abc
import socket

import trio

from agatetack.metrics import Metrics
from agatetack.settings.model import PeersSettings
from agatetack.streams import PlainStream, open_plain_stream
from agatetack.tls import ClientTls, ServerTls


class Transport(abc.ABC):
    """How bytes pass between two hosts."""

    @abc.abstractmethod
    async def open(self, ip: str, port: int) -> trio.abc.Stream:
        """Return a connection to a peer.

        Raises:
            OSError: There is none.
        """

    @abc.abstractmethod
    def accept(self, stream: trio.abc.Stream) -> trio.abc.Stream:
        """Return what to use in place of an accepted connection."""

    @abc.abstractmethod
    async def run(self) -> None:
        """Do what the transport needs until cancelled."""


class PlainTransport(Transport):
    """TCP, for networks of the operators' own.

    Links use plain streams: a host of 18 takes some 550 messages a second, and
    trio's own streams ask the socket for each once more than is needed.
    """

    async def open(self, ip: str, port: int) -> trio.abc.Stream:
        """Return a connection to a peer."""
        return await open_plain_stream(ip, port)

    def accept(self, stream: trio.abc.Stream) -> trio.abc.Stream:
        """Return a plain stream on the connection's socket."""
        if not isinstance(stream, trio.SocketStream):
            return stream
        sock = socket.socket(fileno=stream.socket.detach())
        sock.setblocking(False)
        return PlainStream(sock)

    async def run(self) -> None:
        """Do nothing."""


class TlsTransport(Transport):
    """TLS on which both hosts show a certificate of the fleet's authority."""

    def __init__(self, settings: PeersSettings, metrics: Metrics):
        """Load the files of `settings.tls`.

        Raises:
            TlsFilesError: They can't be used, or there is no authority.
        """
        self.client = ClientTls(settings.tls, "peers_dial", metrics)
        self.server = ServerTls(settings.tls, "peers", metrics)

    async def open(self, ip: str, port: int) -> trio.abc.Stream:
        """Return a connection; its TLS handshake is done with the hello."""
        return await self.client.open_stream(ip, port)

    def accept(self, stream: trio.abc.Stream) -> trio.abc.Stream:
        """Return the TLS connection on `stream`."""
        return self.server.accept_stream(stream)

    async def run(self) -> None:
        """Load the files again whenever they change."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.client.run)
            nursery.start_soon(self.server.run)


def make_transport(settings: PeersSettings, metrics: Metrics) -> Transport:
    """Return the transport that `settings` ask for."""
    if settings.tls is None:
        return PlainTransport()
    return TlsTransport(settings, metrics)
