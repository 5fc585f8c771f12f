"""Call a platform service over HTTP and tell what is known of a failure."""

import dataclasses
import socket
import typing
from collections.abc import Mapping, Sequence

import trio

from agatetack.settings.section import Endpoint

if typing.TYPE_CHECKING:
    import httpcore

IDLE_CLOSE_SECONDS = 5.0
"""An idle connection older than this is not used again."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformRequest:
    """One request to a platform service.

    Attributes:
        method: The HTTP method.
        path: Path and query.
        deadline: When to give it up, on trio's clock.
        body: The request's body.
        headers: Header fields besides the usual ones.
        max_reply_bytes: Longest reply body that is read.
    """

    method: str
    path: str
    deadline: float
    body: bytes = b""
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    max_reply_bytes: int = 1 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformReply:
    """A complete reply of a platform service.

    Attributes:
        status: The HTTP status.
        headers: Header fields, names in lower case; the values of repeated
            ones are joined by commas.
        body: The whole body.
    """

    status: int
    headers: Mapping[bytes, bytes]
    body: bytes


class CallFailed(Exception):
    """No complete reply came.

    Attributes:
        sent: Whether a byte of the request can have left this host.
    """

    def __init__(self, cause: str, sent: bool):
        """Keep what went wrong and whether anything was sent."""
        super().__init__(cause)
        self.sent = sent


@dataclasses.dataclass(slots=True)
class _Generation:
    """A pool and its open calls; a suspect pool is closed after the last."""

    pool: "httpcore.AsyncConnectionPool"
    calls: int = 0
    retired: bool = False


@dataclasses.dataclass(slots=True)
class _Progress:
    """How far one call has come."""

    connected: bool = False
    sent: bool = False

    async def trace(self, event: str, _info: Mapping) -> None:
        """Note the steps that decide what a failure means."""
        if event == "connection.connect_tcp.complete":
            self.connected = True
        elif event == "http11.send_request_headers.started":
            self.sent = True


class PlatformCaller:
    """A platform service at one address.

    Calls run side by side, each on a connection of its own, so that a read
    that waits never blocks an append. Nothing is ever sent twice.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        timeout_seconds: float,
        silent_seconds: int | None = None,
    ):
        """Reach the service at `endpoint`.

        Args:
            endpoint: Its IP number and port.
            timeout_seconds: Longest time that opening a connection may take.
            silent_seconds: A connection whose other end acknowledges nothing
                for this long is lost; None leaves that to the system.
        """
        self.silent_seconds = silent_seconds
        # An IPv6 number stands in brackets in a URL.
        host = f"[{endpoint.host}]" if ":" in endpoint.host else endpoint.host
        self.origin = f"http://{host}:{endpoint.port}"
        self.timeout_seconds = timeout_seconds
        self.generation: _Generation | None = None

    async def aclose(self) -> None:
        """Close all connections."""
        if self.generation is not None:
            await self.generation.pool.aclose()

    async def call(self, request: PlatformRequest) -> PlatformReply:
        """Send `request` once and return its complete reply.

        Raises:
            CallFailed: No complete reply came before the deadline.
        """
        # Loaded here, as a host that starts from what another one has read
        # makes no call.
        import httpcore

        if self.generation is None:
            self.generation = _Generation(_new_pool(self.silent_seconds))
        generation = self.generation
        progress = _Progress()
        generation.calls += 1
        try:
            with trio.move_on_at(request.deadline):
                return await self._exchange(generation, request, progress)
            self._suspect(generation, progress)
            raise CallFailed("no reply in time", progress.sent)
        except (OSError, httpcore.TimeoutException) as error:
            raise CallFailed(_describe(error), progress.sent) from error
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise CallFailed(_describe(error), progress.sent) from error
        finally:
            generation.calls -= 1
            if generation.retired and not generation.calls:
                await generation.pool.aclose()

    async def _exchange(
        self,
        generation: _Generation,
        request: PlatformRequest,
        progress: _Progress,
    ) -> PlatformReply:
        body = bytearray()
        async with generation.pool.stream(
            request.method,
            self.origin + request.path,
            headers=dict(request.headers),
            content=request.body,
            extensions={
                "trace": progress.trace,
                "timeout": {"connect": self.timeout_seconds},
            },
        ) as response:
            async for chunk in response.aiter_stream():
                body += chunk
                if len(body) > request.max_reply_bytes:
                    raise CallFailed("the reply is too long", sent=True)
        headers = _joined(response.headers)
        return PlatformReply(response.status, headers, bytes(body))

    def _suspect(self, generation: _Generation, progress: _Progress) -> None:
        # What made a reused connection go silent has probably made its
        # siblings silent too, so that the next calls open new ones.
        if progress.connected or generation is not self.generation:
            return
        generation.retired = True
        self.generation = _Generation(_new_pool(self.silent_seconds))


def _new_pool(silent_seconds: int | None) -> "httpcore.AsyncConnectionPool":
    import httpcore

    options = None if silent_seconds is None else _silence(silent_seconds)
    return httpcore.AsyncConnectionPool(
        max_connections=None,
        keepalive_expiry=IDLE_CLOSE_SECONDS,
        retries=0,
        socket_options=options,
    )


def _silence(seconds: int) -> list[tuple[int, int, int]]:
    """Return socket options that end a connection after so long a silence.

    A read that waits for a record for long sends nothing by itself, so that
    only probes of the system's own show that the other end is gone.
    """
    return [
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, max(1, seconds - 1)),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, seconds * 1000),
    ]


def _joined(fields: Sequence[tuple[bytes, bytes]]) -> dict[bytes, bytes]:
    """Return header fields by name, the values of repeated ones joined."""
    joined: dict[bytes, bytes] = {}
    for name, value in fields:
        key = name.lower()
        joined[key] = joined[key] + b", " + value if key in joined else value
    return joined


def _describe(error: Exception) -> str:
    return str(error) or type(error).__name__
