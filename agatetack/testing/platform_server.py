"""Serve the stand-ins of the platform over HTTP, with scripted faults."""

import base64
import dataclasses
import gzip
import hashlib
import math
import urllib.parse
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import hypercorn.config
import hypercorn.trio
import orjson
import trio

from agatetack.hosts.host_list import HostListUnavailable
from agatetack.ids import Deadline, LogOffset, StreamId
from agatetack.record_log.log import (
    LogOutcomeUnknown,
    LogPage,
    LogTooFast,
    LogTruncated,
    LogUnavailable,
)
from agatetack.record_log.messages import (
    MAX_PAGE_BYTES,
    AppendReply,
    ErrorReply,
    PageReply,
    PlatformError,
    RecordBody,
)
from agatetack.testing.memory_host_list import MemoryHostList
from agatetack.testing.memory_log import MemoryLog, MemoryLogService

Scope = Mapping[str, Any]
Receive = Callable[[], Awaitable[Mapping[str, Any]]]
Send = Callable[[Mapping[str, Any]], Awaitable[None]]

FOREVER = Deadline(math.inf)

MAX_WAIT_SECONDS = 30.0
"""Longest wait of one read."""

STREAMS = "/streams/"
HOSTS = "/hosts"

STATUSES = {
    PlatformError.UNAVAILABLE: 503,
    PlatformError.TOO_FAST: 429,
    PlatformError.TRUNCATED: 410,
    PlatformError.TOO_LARGE: 413,
    PlatformError.MALFORMED: 400,
}


class _Cut(Exception):
    """The reply ends here, in the middle."""


@dataclasses.dataclass(slots=True)
class HttpFaults:
    """Faults of the way between the services and their callers.

    Attributes:
        cut_replies: Replies to come that end in the middle.
        bare_errors: Replies to come that are a 503 of something in between,
            after the call took effect.
        malformed_replies: Replies to come that are no JSON.
        max_record_bytes: Longest record that an append may bring.
    """

    cut_replies: int = 0
    bare_errors: int = 0
    malformed_replies: int = 0
    max_record_bytes: int = 1 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class _Reply:
    status: int
    body: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()


class PlatformApp:
    """The log and the host list as one ASGI application."""

    def __init__(
        self,
        service: MemoryLogService,
        hosts: MemoryHostList,
        faults: HttpFaults,
        nursery: trio.Nursery,
    ):
        """Serve `service` and `hosts`; `nursery` runs late appends."""
        self.log = MemoryLog(service, nursery)
        self.hosts = hosts
        self.faults = faults

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer one request."""
        if scope["type"] == "lifespan":
            await _pass_lifespan(receive, send)
            return
        try:
            reply = await self._answer(scope, receive)
        except LogOutcomeUnknown:
            # The reply is lost: the caller waits until it gives up.
            while (await receive())["type"] != "http.disconnect":
                pass
            return
        await self._send(reply, send)

    async def _answer(self, scope: Scope, receive: Receive) -> _Reply:
        path = scope["path"]
        method = scope["method"]
        try:
            if path == HOSTS and method == "GET":
                return await self._list_hosts(scope)
            stream = StreamId(path.removeprefix(STREAMS))
            if path == STREAMS + stream and method == "POST":
                return await self._append(stream, receive)
            if path == STREAMS + stream and method == "GET":
                return await self._read(stream, scope)
        except (LogUnavailable, HostListUnavailable):
            return _refuse(ErrorReply(PlatformError.UNAVAILABLE))
        except LogTooFast as error:
            left_ms = max(0.0, error.retry_at - trio.current_time()) * 1000
            return _refuse(
                ErrorReply(PlatformError.TOO_FAST, retry_after_ms=left_ms)
            )
        except LogTruncated as error:
            return _refuse(
                ErrorReply(PlatformError.TRUNCATED, first=error.first)
            )
        except ValueError:
            pass
        return _refuse(ErrorReply(PlatformError.MALFORMED))

    async def _append(self, stream: StreamId, receive: Receive) -> _Reply:
        payload = b""
        more = True
        while more:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise LogOutcomeUnknown("the request was cut")
            payload += message.get("body", b"")
            more = message.get("more_body", False)
        if len(payload) > self.faults.max_record_bytes:
            return _refuse(ErrorReply(PlatformError.TOO_LARGE))
        offset = await self.log.append(stream, payload, FOREVER)
        return _Reply(200, orjson.dumps(AppendReply(offset)))

    async def _read(self, stream: StreamId, scope: Scope) -> _Reply:
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode()))
        start = LogOffset(int(query["from"]))
        wait_seconds = min(int(query["wait_ms"]) / 1000, MAX_WAIT_SECONDS)
        wait_until = None
        if wait_seconds > 0:
            wait_until = Deadline(trio.current_time() + wait_seconds)
        page = await self.log.read(
            stream, start, FOREVER, wait_until, int(query["max"])
        )
        return _Reply(200, orjson.dumps(_page_reply(page, start)))

    async def _list_hosts(self, scope: Scope) -> _Reply:
        hosts = await self.hosts.fetch(FOREVER)
        body = orjson.dumps({"hosts": hosts})
        etag = b'"%s"' % hashlib.sha256(body).hexdigest()[:16].encode()
        headers = dict(scope["headers"])
        if headers.get(b"if-none-match") == etag:
            return _Reply(304, b"", ((b"etag", etag),))
        if b"gzip" not in headers.get(b"accept-encoding", b""):
            return _Reply(200, body, ((b"etag", etag),))
        encoding = (b"content-encoding", b"gzip")
        return _Reply(200, gzip.compress(body), ((b"etag", etag), encoding))

    async def _send(self, reply: _Reply, send: Send) -> None:
        faults = self.faults
        if faults.bare_errors:
            faults.bare_errors -= 1
            reply = _Reply(503, b"no healthy upstream")
        if faults.malformed_replies:
            faults.malformed_replies -= 1
            reply = _Reply(reply.status, b"<html>")
        length = b"%d" % len(reply.body)
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", length),
            *reply.headers,
        ]
        start = {
            "type": "http.response.start",
            "status": reply.status,
            "headers": headers,
        }
        await send(start)
        body = reply.body
        if faults.cut_replies:
            faults.cut_replies -= 1
            half = body[: len(body) // 2]
            await send(
                {"type": "http.response.body", "body": half, "more_body": True}
            )
            raise _Cut
        await send({"type": "http.response.body", "body": body})


async def serve_platform(
    service: MemoryLogService,
    hosts: MemoryHostList,
    faults: HttpFaults | None = None,
    port: int = 0,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve on loopback until cancelled; report the port once it listens.

    Args:
        service: The log's records and faults.
        hosts: The host list and its faults.
        faults: Faults of the way to them.
        port: Where to listen; 0 lets the kernel choose.
        task_status: Told the port.
    """
    config = hypercorn.config.Config()
    config.bind = [f"127.0.0.1:{port}"]
    config.errorlog = None
    config.graceful_timeout = 0
    async with trio.open_nursery() as nursery:
        app = PlatformApp(service, hosts, faults or HttpFaults(), nursery)
        binds = await nursery.start(hypercorn.trio.serve, app, config)
        task_status.started(int(binds[0].rpartition(":")[2]))


def _refuse(error: ErrorReply) -> _Reply:
    status = STATUSES[error.error]
    if error.retry_after_ms is None:
        return _Reply(status, orjson.dumps(error))
    seconds = math.ceil(error.retry_after_ms / 1000)
    retry_after = (b"retry-after", b"%d" % seconds)
    return _Reply(status, orjson.dumps(error), (retry_after,))


def _page_reply(page: LogPage, start: LogOffset) -> PageReply:
    records: list[RecordBody] = []
    size = 0
    for record in page.records:
        size += len(record.payload)
        if records and size > MAX_PAGE_BYTES:
            break
        payload = base64.b64encode(record.payload).decode()
        records.append(RecordBody(payload, record.appended_at))
    return PageReply(start, page.first, page.end, records)


async def _pass_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return
