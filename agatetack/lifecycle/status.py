"""Serve a host's readiness and metrics on separate addresses."""

from collections.abc import Callable, Sequence

import trio
from aioprometheus.formats.text import TEXT_CONTENT_TYPE, TextFormatter

from agatetack.callers.memory import CallerMemory
from agatetack.callers.server import CallerServer
from agatetack.lifecycle.drain import Lifecycle
from agatetack.messages import (
    Answer,
    BytesBody,
    CallerRequest,
    Handler,
    Header,
)
from agatetack.metrics import Metrics
from agatetack.settings.model import Endpoint, Settings

OK = 200
NOT_FOUND = 404
NOT_READY = 503


def _text(status: int, content: bytes, kind: bytes = b"text/plain") -> Answer:
    return Answer(status, [Header(b"content-type", kind)], BytesBody(content))


class ReadyHandler(Handler):
    """Answers whether the host is ready for requests."""

    def __init__(self, settings: Settings, lifecycle: Lifecycle):
        """Answer with the readiness of `lifecycle`."""
        self.path = settings.status.ready_path.encode()
        self.lifecycle = lifecycle

    async def handle(self, request: CallerRequest) -> Answer:
        """Return 200 if the host is ready, else 503 and the reason."""
        if request.path != self.path:
            return _text(NOT_FOUND, b"there is nothing here\n")
        not_ready = self.lifecycle.not_ready()
        if not_ready is None:
            return _text(OK, b"ready\n")
        return _text(NOT_READY, f"{not_ready.detail}\n".encode())


class MetricsHandler(Handler):
    """Answers with the host's metrics as text."""

    def __init__(
        self,
        settings: Settings,
        metrics: Metrics,
        refresh: Sequence[Callable[[], None]] = (),
    ):
        """Serve `metrics`.

        Args:
            settings: The host's settings.
            metrics: The host's metrics.
            refresh: Called before each answer to update gauges.
        """
        self.path = settings.status.metrics_path.encode()
        self.metrics = metrics
        self.refresh = refresh

    async def handle(self, request: CallerRequest) -> Answer:
        """Return the metrics."""
        if request.path != self.path:
            return _text(NOT_FOUND, b"there is nothing here\n")
        for refresh in self.refresh:
            refresh()
        content = await render_metrics(self.metrics)
        return _text(OK, content, TEXT_CONTENT_TYPE.encode())


async def render_metrics(metrics: Metrics) -> bytes:
    """Return all metrics as text; other tasks may run between two."""
    metrics.flush_buffered()
    formatter = TextFormatter()
    blocks = []
    for collector in metrics.registry.get_all():
        blocks.append(formatter.marshall_collector(collector))
        await trio.lowlevel.checkpoint()
    return "\n".join([*blocks, ""]).encode()


def status_server(
    settings: Settings,
    listen: Endpoint,
    handler: Handler,
    metrics: Metrics,
    memory: CallerMemory,
) -> CallerServer:
    """Return a plain HTTP server at `listen`.

    Args:
        settings: The host's settings.
        listen: Where it listens.
        handler: Handles the requests.
        metrics: Where refusals are counted.
        memory: The host's memory for callers.
    """
    callers = settings.callers.copy_with(
        {
            "listen": listen,
            "pipeline_depth": 1,
            "end_means_gone": False,
            "max_connections": settings.status.max_connections,
        }
    )
    own = settings.copy_with({"callers": callers})
    return CallerServer(own, handler, metrics, memory=memory)
