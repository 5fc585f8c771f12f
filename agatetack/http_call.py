"""HTTP client for platform services that reports whether a request was sent."""

import dataclasses
import math
import socket
import typing
from collections.abc import Callable, Mapping, Sequence

import trio

from agatetack.settings.section import Endpoint
from agatetack.streams import met_reset

if typing.TYPE_CHECKING:
    import httpcore

IDLE_CLOSE_SECONDS = 5.0
"""Connections that were idle for longer are not reused."""

SEND_FAILURES = frozenset(
    {
        "http11.send_request_headers.failed",
        "http11.send_request_body.failed",
    }
)
"""Events of httpcore; it then reads the reply nevertheless."""

FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
"""A reply with neither ends with its connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformRequest:
    """One request to a platform service.

    Attributes:
        method: The HTTP method.
        path: Path and query.
        deadline: When the call is given up, on trio's clock.
        body: The request's body.
        headers: Header fields in addition to the default ones.
        max_reply_bytes: Longest reply body that is accepted.
        slowest_bytes_per_second: Rate at which a reply that has begun may
            arrive after the deadline; infinite if it may not.
        on_reply: Called when the reply begins, with the length of its body in
            bytes, None if it is not announced.
    """

    method: str
    path: str
    deadline: float
    body: bytes = b""
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    max_reply_bytes: int = 1 << 20
    slowest_bytes_per_second: float = math.inf
    on_reply: Callable[[int | None], None] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformReply:
    """A complete reply of a platform service.

    Attributes:
        status: The HTTP status.
        headers: Header fields with names in lower case; the values of
            repeated fields are joined by commas.
        body: The whole body.
    """

    status: int
    headers: Mapping[bytes, bytes]
    body: bytes


class CallFailed(Exception):
    """No complete reply arrived.

    Attributes:
        sent: Whether any byte of the request may have left this host.
    """

    def __init__(self, cause: str, sent: bool):
        """Create the error from its cause and whether anything was sent."""
        super().__init__(cause)
        self.sent = sent


@dataclasses.dataclass(slots=True)
class _PoolState:
    """A connection pool and its number of open calls.

    A retired pool is closed when its last call ends.
    """

    pool: "httpcore.AsyncConnectionPool"
    open_calls: int = 0
    retired: bool = False


@dataclasses.dataclass(slots=True)
class _CallProgress:
    """The steps that one call has completed.

    Attributes:
        connected: Whether a connection was opened for it.
        sent: Whether any byte may have been sent.
        reset: Whether sending has met a reset.
        received_bytes: Bytes of the reply's body so far.
    """

    connected: bool = False
    sent: bool = False
    reset: bool = False
    received_bytes: int = 0

    async def trace(self, event: str, info: Mapping) -> None:
        """Record the steps that matter if the call fails."""
        if event == "connection.connect_tcp.complete":
            self.connected = True
        elif event == "http11.send_request_headers.started":
            self.sent = True
        elif event in SEND_FAILURES:
            self.reset = self.reset or met_reset(info["exception"])


class PlatformClient:
    """Client of a platform service at one address.

    Concurrent calls use separate connections, so that a long-polling read
    never blocks an append. Requests are never retried.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        timeout_seconds: float,
        silent_seconds: int | None = None,
    ):
        """Create a client of the service at `endpoint`.

        Args:
            endpoint: The service's IP address and port.
            timeout_seconds: Longest time that opening a connection may take,
                and that a reply that has begun may bring nothing.
            silent_seconds: Time without an acknowledgement from the other
                end after which a connection counts as lost; None for the
                system's defaults.
        """
        self.silent_seconds = silent_seconds
        # URLs have IPv6 addresses in brackets.
        host = f"[{endpoint.host}]" if ":" in endpoint.host else endpoint.host
        self.origin = f"http://{host}:{endpoint.port}"
        self.timeout_seconds = timeout_seconds
        self.pool_state: _PoolState | None = None

    async def aclose(self) -> None:
        """Close all connections."""
        if self.pool_state is not None:
            await self.pool_state.pool.aclose()

    async def call(self, request: PlatformRequest) -> PlatformReply:
        """Send `request` once and return its complete reply.

        Raises:
            CallFailed: No complete reply arrived before the deadline.
        """
        # Imported here, because a host that starts from a copy of another
        # host's data makes no call and need not load it.
        try:
            import httpcore
        except (OSError, ImportError) as error:
            # There may be no file descriptor left to read it.
            raise CallFailed(_describe(error), sent=False) from error

        if self.pool_state is None:
            self.pool_state = _PoolState(_new_pool(self.silent_seconds))
        pool_state = self.pool_state
        progress = _CallProgress()
        pool_state.open_calls += 1
        try:
            with trio.move_on_at(request.deadline) as scope:
                return await self._exchange(
                    pool_state, request, progress, scope
                )
            self._retire_pool(pool_state, progress)
            cause = "no reply in time"
            if progress.received_bytes:
                cause = f"only {progress.received_bytes} bytes in time"
            raise CallFailed(cause, progress.sent)
        except (OSError, httpcore.TimeoutException) as error:
            raise CallFailed(_describe(error), progress.sent) from error
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise CallFailed(_describe(error), progress.sent) from error
        finally:
            pool_state.open_calls -= 1
            if pool_state.retired and not pool_state.open_calls:
                await pool_state.pool.aclose()

    async def _exchange(
        self,
        pool_state: _PoolState,
        request: PlatformRequest,
        progress: _CallProgress,
        scope: trio.CancelScope,
    ) -> PlatformReply:
        body = bytearray()
        async with pool_state.pool.stream(
            request.method,
            self.origin + request.path,
            headers=dict(request.headers),
            content=request.body,
            extensions={
                "trace": progress.trace,
                "timeout": {"connect": self.timeout_seconds},
            },
        ) as response:
            if request.on_reply is not None:
                request.on_reply(_body_bytes(response.headers))
            begun_at = trio.current_time()
            self._give_time(scope, request, begun_at, 0)
            async for chunk in response.aiter_stream():
                body += chunk
                progress.received_bytes = len(body)
                self._give_time(scope, request, begun_at, len(body))
                if len(body) > request.max_reply_bytes:
                    raise CallFailed("the reply is too long", sent=True)
        headers = _join_repeated(response.headers)
        # The reset was reported to the send, so that the read that came
        # after it got what looks like a regular end.
        if progress.reset and not FRAMING_HEADERS & headers.keys():
            raise CallFailed("the reply is cut by a reset", sent=True)
        return PlatformReply(response.status, headers, bytes(body))

    def _give_time(
        self,
        scope: trio.CancelScope,
        request: PlatformRequest,
        begun_at: float,
        received_bytes: int,
    ) -> None:
        """Let a reply that is under way arrive, unless it arrives too slowly.

        A large reply over a thin link would be given up each time that it is
        asked for.
        """
        if math.isinf(request.slowest_bytes_per_second):
            return
        seconds = received_bytes / request.slowest_bytes_per_second
        scope.deadline = begun_at + self.timeout_seconds + seconds

    def _retire_pool(
        self, pool_state: _PoolState, progress: _CallProgress
    ) -> None:
        # If a reused connection timed out, the pool's other connections are
        # probably dead for the same reason, so the next calls open new ones.
        if progress.connected or pool_state is not self.pool_state:
            return
        pool_state.retired = True
        self.pool_state = _PoolState(_new_pool(self.silent_seconds))


def _new_pool(silent_seconds: int | None) -> "httpcore.AsyncConnectionPool":
    import httpcore

    options = (
        None if silent_seconds is None else _keepalive_options(silent_seconds)
    )
    return httpcore.AsyncConnectionPool(
        max_connections=None,
        keepalive_expiry=IDLE_CLOSE_SECONDS,
        retries=0,
        socket_options=options,
    )


def _keepalive_options(seconds: int) -> list[tuple[int, int, int]]:
    """Return socket options that detect a dead peer after `seconds`.

    A long-polling read sends nothing while it waits, so only TCP keepalive
    probes can detect that the other end no longer exists.
    """
    return [
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, max(1, seconds - 1)),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, seconds * 1000),
    ]


def _join_repeated(fields: Sequence[tuple[bytes, bytes]]) -> dict[bytes, bytes]:
    """Return header fields by name, joining the values of repeated ones."""
    joined: dict[bytes, bytes] = {}
    for name, value in fields:
        key = name.lower()
        joined[key] = joined[key] + b", " + value if key in joined else value
    return joined


def _body_bytes(fields: Sequence[tuple[bytes, bytes]]) -> int | None:
    """Return the announced length of a body, None if there is none."""
    text = _join_repeated(fields).get(b"content-length", b"")
    return int(text) if text.isdigit() else None


def _describe(error: Exception) -> str:
    return str(error) or type(error).__name__
