"""Serve the administration API, `/metrics`, `/ready` and the status page."""

import dataclasses
import ssl
import urllib.parse
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import trio
from aioprometheus.formats.text import TEXT_CONTENT_TYPE

from agatetack.lifecycle.status import render_metrics
from agatetack.listeners import take_listener
from agatetack.logs import PartLog
from agatetack.metrics import Metrics
from agatetack.operators import rpc
from agatetack.operators.access import Authenticator, Sender
from agatetack.operators.backend import OperatorsBackend
from agatetack.operators.host_calls import HostCalls
from agatetack.operators.page import render_page
from agatetack.operators.refusals import AccessDenied, AccessProblem
from agatetack.operators.route_calls import RouteCalls
from agatetack.settings.model import OperatorRole, Settings
from agatetack.tls import ServerTls

TEXT = b"text/plain; charset=utf-8"
HTML = b"text/html; charset=utf-8"
BODY_TIMEOUT_SECONDS = 10
GRACE_SECONDS = 2
"""How long open calls may go on when the host stops."""

Scope = Mapping[str, Any]
Receive = Callable[[], Awaitable[Mapping[str, Any]]]
Send = Callable[[Mapping[str, Any]], Awaitable[None]]

log = PartLog("operators")


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """One HTTP response.

    Attributes:
        status: The HTTP status.
        body: The whole body.
        content_type: Its type.
        headers: Further header fields.
    """

    status: int
    body: bytes
    content_type: bytes = TEXT
    headers: tuple[tuple[bytes, bytes], ...] = ()


class BodyTooLong(Exception):
    """A request's body is longer than any message that is read."""


class OperatorsApp:
    """The ASGI application on the operators' address."""

    def __init__(
        self, settings: Settings, backend: OperatorsBackend, metrics: Metrics
    ):
        """Answer for the host behind `backend`."""
        self.settings = settings
        self.backend = backend
        self.metrics = metrics
        self.authenticator = Authenticator(settings, metrics)
        self.dispatcher = rpc.Dispatcher(
            self.authenticator,
            metrics,
            RouteCalls(settings, backend),
            HostCalls(backend),
        )
        self.pages: dict[tuple[str, str], Callable[..., Awaitable]] = {
            ("POST", "/api"): self._api,
            ("GET", "/"): self._status_page,
            ("GET", "/metrics"): self._metrics,
            ("GET", "/ready"): self._ready,
        }

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer one ASGI scope."""
        if scope["type"] == "lifespan":
            await _live(receive, send)
        elif scope["type"] == "http":
            await _send(send, await self._answer(scope, receive))

    async def _answer(self, scope: Scope, receive: Receive) -> Response:
        method = "GET" if scope["method"] == "HEAD" else scope["method"]
        page = self.pages.get((method, scope["path"]))
        if page is not None:
            return await page(scope, receive)
        if any(path == scope["path"] for _, path in self.pages):
            return Response(405, b"this method is not allowed here\n")
        return Response(404, b"there is nothing here\n")

    async def _api(self, scope: Scope, receive: Receive) -> Response:
        content_type = _content_type(scope)
        if content_type is None:
            return Response(415, b"send a Thrift message; see the schema\n")
        try:
            with trio.fail_after(BODY_TIMEOUT_SECONDS):
                body = await _read_body(receive)
        except BodyTooLong:
            return Response(413, b"the message is too long\n")
        except trio.TooSlowError:
            return Response(408, b"the message did not come in time\n")
        try:
            reply = await self.dispatcher.answer(
                body, content_type, _sender(scope)
            )
        except rpc.BadMessage as error:
            return Response(400, f"{error}\n".encode())
        return Response(200, reply, content_type.value.encode())

    async def _status_page(self, scope: Scope, receive: Receive) -> Response:
        try:
            operator = self.authenticator.authenticate(_sender(scope))
            operator.require(OperatorRole.READ)
        except AccessDenied as error:
            self.authenticator.count(error)
            return _denied(error)
        page = await render_page(self.backend, self.metrics, operator)
        return Response(200, page.encode(), HTML)

    async def _metrics(self, scope: Scope, receive: Receive) -> Response:
        body = await render_metrics(self.metrics)
        return Response(200, body, TEXT_CONTENT_TYPE.encode())

    async def _ready(self, scope: Scope, receive: Receive) -> Response:
        status = self.backend.status()
        if status.ready:
            return Response(200, b"ready\n")
        why = status.not_ready_because or "not ready"
        return Response(503, f"{why}\n".encode())


def _denied(error: AccessDenied) -> Response:
    """Return a browser's answer; only a missing or wrong token is asked for."""
    text = f"{error}\n".encode()
    if error.problem is AccessProblem.TOO_MANY_FAILURES:
        seconds = -(-(error.retry_after_ms or 0) // 1000)
        wait = (b"retry-after", str(seconds).encode())
        return Response(429, text, headers=(wait,))
    if error.problem in (
        AccessProblem.TOKEN_MISSING,
        AccessProblem.TOKEN_WRONG,
    ):
        ask = (b"www-authenticate", b'Basic realm="agatetack"')
        return Response(401, text, headers=(ask,))
    return Response(403, text)


async def serve_operators(
    settings: Settings,
    backend: OperatorsBackend,
    metrics: Metrics,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve on `settings.operators.listen` until cancelled.

    Args:
        settings: The host's settings.
        backend: What the API works on.
        metrics: What `/metrics` shows; the API's own counters are added.
        task_status: Reports the port once connections are accepted.
    """
    # The server is imported here, as a command needs only the client.
    import hypercorn.trio

    app = OperatorsApp(settings, backend, metrics)
    tls = None
    if settings.operators.tls is not None:
        tls = ServerTls(settings.operators.tls, "operators", metrics)
    config = _server_config(settings, tls)
    async with trio.open_nursery() as nursery:
        if tls is not None:
            nursery.start_soon(tls.run)
        binds = await nursery.start(hypercorn.trio.serve, app, config)
        port = urllib.parse.urlsplit(binds[0]).port
        log.info("Operators are served on %s.", binds[0])
        task_status.started(port)


def _server_config(settings: Settings, tls: ServerTls | None) -> Any:
    from hypercorn.config import Config

    class ReloadingConfig(Config):
        """A server whose certificate can change while it runs."""

        ssl_enabled = tls is not None

        def create_ssl_context(self) -> ssl.SSLContext | None:
            return None if tls is None else tls.context

    listen = settings.operators.listen
    config = ReloadingConfig()
    listener = take_listener(listen.host, listen.port)
    config.bind = [f"fd://{listener.detach()}"]
    config.errorlog = None
    config.include_server_header = False
    config.graceful_timeout = GRACE_SECONDS
    return config


def _header(scope: Scope, name: bytes) -> bytes:
    for key, value in scope["headers"]:
        if key.lower() == name:
            return value
    return b""


def _sender(scope: Scope) -> Sender:
    client = scope.get("client")
    return Sender(_header(scope, b"authorization"), client[0] if client else "")


def _content_type(scope: Scope) -> rpc.ContentType | None:
    text = _header(scope, b"content-type").decode("latin-1")
    try:
        return rpc.ContentType(text.partition(";")[0].strip().lower())
    except ValueError:
        return None


async def _read_body(receive: Receive) -> bytes:
    body = bytearray()
    more = True
    while more:
        event = await receive()
        body += event.get("body", b"")
        more = event.get("more_body", False)
        if len(body) > rpc.MAX_BODY_BYTES:
            raise BodyTooLong
    return bytes(body)


async def _send(send: Send, response: Response) -> None:
    headers = [
        (b"content-type", response.content_type),
        (b"content-length", b"%d" % len(response.body)),
        (b"cache-control", b"no-store"),
        *response.headers,
    ]
    await send(
        {
            "type": "http.response.start",
            "status": response.status,
            "headers": headers,
        }
    )
    await send({"type": "http.response.body", "body": response.body})


async def _live(receive: Receive, send: Send) -> None:
    """Answer the server's start and stop events."""
    while True:
        event = await receive()
        await send({"type": f"{event['type']}.complete"})
        if event["type"] == "lifespan.shutdown":
            return
