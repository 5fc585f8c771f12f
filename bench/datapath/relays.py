"""Pass requests on with as little as each library allows, as baselines."""

from collections.abc import Awaitable, Callable

import h11
import httpcore
import httptools
import hypercorn.config
import hypercorn.trio
import trio

RECEIVE_BYTES = 65536
LOOPBACK = "127.0.0.1"

Relay = Callable[[int, trio.TaskStatus[int]], Awaitable[None]]
"""Serves on a port of its own and passes on to the given port."""


async def _serve(
    handler: Callable[[trio.SocketStream], Awaitable[None]],
    task_status: trio.TaskStatus[int],
) -> None:
    listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
    async with trio.open_nursery() as nursery:
        await nursery.start(trio.serve_listeners, handler, listeners)
        task_status.started(listeners[0].socket.getsockname()[1])


class _Message:
    """Collects one message of the httptools parser."""

    def __init__(self) -> None:
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = b""
        self.complete = False

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name, value))

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.complete = True


async def httptools_relay(target: int, task_status) -> None:
    """Relay with httptools on trio streams, both sides."""
    idle: list[trio.SocketStream] = []

    async def serve(caller: trio.SocketStream) -> None:
        while True:
            message = _Message()
            parser = httptools.HttpRequestParser(message)
            while not message.complete:
                data = await caller.receive_some(RECEIVE_BYTES)
                if not data:
                    return
                parser.feed_data(data)
            stream = idle.pop() if idle else None
            if stream is None:
                stream = await trio.open_tcp_stream(LOOPBACK, target)
            lines = [parser.get_method() + b" " + message.url + b" HTTP/1.1"]
            lines += [name + b": " + value for name, value in message.headers]
            await stream.send_all(b"\r\n".join(lines) + b"\r\n\r\n")
            answer = _Message()
            reader = httptools.HttpResponseParser(answer)
            while not answer.complete:
                reader.feed_data(await stream.receive_some(RECEIVE_BYTES))
            idle.append(stream)
            lines = [b"HTTP/1.1 %d OK" % reader.get_status_code()]
            lines += [name + b": " + value for name, value in answer.headers]
            head = b"\r\n".join(lines) + b"\r\n\r\n"
            await caller.send_all(head + answer.body)

    await _serve(serve, task_status)


async def h11_relay(target: int, task_status) -> None:
    """Relay with h11 on trio streams, both sides."""
    idle: list[tuple[trio.SocketStream, h11.Connection]] = []

    async def next_event(stream, connection):
        while True:
            event = connection.next_event()
            if event is not h11.NEED_DATA:
                return event
            connection.receive_data(await stream.receive_some(RECEIVE_BYTES))

    async def serve(caller: trio.SocketStream) -> None:
        ours = h11.Connection(h11.SERVER)
        while True:
            request = await next_event(caller, ours)
            if not isinstance(request, h11.Request):
                return
            while not isinstance(
                await next_event(caller, ours), h11.EndOfMessage
            ):
                pass
            if idle:
                stream, theirs = idle.pop()
            else:
                stream = await trio.open_tcp_stream(LOOPBACK, target)
                theirs = h11.Connection(h11.CLIENT)
            data = theirs.send(request) + theirs.send(h11.EndOfMessage())
            await stream.send_all(data)
            while True:
                event = await next_event(stream, theirs)
                await caller.send_all(ours.send(event) or b"")
                if isinstance(event, h11.EndOfMessage):
                    break
            theirs.start_next_cycle()
            ours.start_next_cycle()
            idle.append((stream, theirs))

    await _serve(serve, task_status)


async def hypercorn_relay(target: int, task_status) -> None:
    """Relay with hypercorn in and an httpcore pool out."""
    pool = httpcore.AsyncConnectionPool(max_connections=200)

    async def app(scope, receive, send) -> None:
        if scope["type"] == "lifespan":
            while True:
                message = await receive()
                kind = message["type"]
                await send({"type": kind + ".complete"})
                if kind == "lifespan.shutdown":
                    return
        response = await pool.request(
            scope["method"], f"http://{LOOPBACK}:{target}{scope['path']}"
        )
        await send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": response.headers,
            }
        )
        await send({"type": "http.response.body", "body": response.content})

    config = hypercorn.config.Config()
    config.bind = [f"{LOOPBACK}:0"]
    config.loglevel = "ERROR"
    async with trio.open_nursery() as nursery:
        binds = await nursery.start(hypercorn.trio.serve, app, config)
        task_status.started(int(binds[0].rpartition(":")[2]))


RELAYS: dict[str, Relay] = {
    "httptools": httptools_relay,
    "h11": h11_relay,
    "hypercorn+httpcore": hypercorn_relay,
}
