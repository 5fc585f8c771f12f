"""Serve the stand-in of the platform's store over HTTP."""

import base64
import struct
import urllib.parse
from collections.abc import Mapping

import orjson
import trio

from agatetack.callers.server import CallerServer
from agatetack.messages import (
    Answer,
    Body,
    BytesBody,
    CallerGone,
    CallerRequest,
    Handler,
    read_whole,
)
from agatetack.metrics import Metrics
from agatetack.settings.defaults import default_settings
from agatetack.testing.memory_store import MemoryStore, StoreFault
from agatetack.testing.thin_link import PIECE_BYTES, ThinLink

PAGE_KEYS = 500
"""Keys in one page of the newest records."""

MAX_READ_BYTES = 1 << 20
"""Bytes after which an answer to a read holds no further record."""

LENGTH = struct.Struct(">I")
READ_HEAD = struct.Struct(">QQ")


class PacedBody(Body):
    """A body that a thin link to its receiver carries."""

    def __init__(self, content: bytes, link: ThinLink):
        """Send `content` over `link`."""
        self.content = content
        self.length = len(content)
        self.link = link
        self.sent = 0

    async def receive(self) -> bytes:
        """Return the next piece once the link has carried it."""
        piece = self.content[self.sent : self.sent + PIECE_BYTES]
        await self.link.carry(len(piece))
        self.sent += len(piece)
        return piece

    async def aclose(self) -> None:
        """Do nothing."""


class StoreHandler(Handler):
    """Answers calls of the store as the platform's pages describe them."""

    def __init__(self, store: MemoryStore):
        """Answer from `store`."""
        self.store = store
        self.calls = {
            "/agatetack/log-read": self._read,
            "/agatetack/log-newest": self._newest,
            "/agatetack/log-append": self._append,
        }

    async def handle(self, request: CallerRequest) -> Answer:
        """Answer one call, unless a fault keeps it from being answered."""
        path, _, text = request.path.decode().partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        self.store.calls[path] += 1
        await trio.sleep(self.store.latency_seconds)
        await self._fail(query.get("topic", ""))
        call = self.calls.get(path)
        if call is None:
            return _json(404, {"error": "no such call"})
        body = (await read_whole(request.body)).content
        answer = await call(query, body)
        await self._fail(query.get("topic", ""))
        if self.store.generation is not None:
            generation = str(self.store.generation).encode()
            answer.headers.append((b"store-era", generation))
        return answer

    async def _fail(self, topic: str) -> None:
        if topic in self.store.silent:
            # Its connection returns nothing further.
            await trio.sleep_forever()
        fault = self.store.fault
        while self.store.fault in (StoreFault.SILENT, StoreFault.ANSWER_LOST):
            await self.store.changed.wait()
        if fault in (StoreFault.SILENT, StoreFault.ANSWER_LOST):
            # What was not answered in time is never answered.
            raise CallerGone

    async def _read(self, query: Mapping[str, str], body: bytes) -> Answer:
        topic, first = query["topic"], int(query["from"])
        seconds = int(query.get("wait_ms", "0")) / 1000
        if self.store.fault is StoreFault.REFUSED:
            return _json(503, {})
        await self.store.wait_for(topic, first, seconds)
        if self.store.fault is StoreFault.REFUSED:
            return _json(503, {})
        found = self.store.topics[topic]
        if not found.first <= first <= found.end:
            return _json(410, {"first": found.first})
        content = READ_HEAD.pack(found.end, found.first)
        for record in found.records:
            if record.offset >= first and len(content) < MAX_READ_BYTES:
                content += _frame(record.key, record.value)
        return Answer(200, [], self._body(content))

    def _body(self, content: bytes) -> Body:
        rate = self.store.answer_bytes_per_second
        return PacedBody(content, ThinLink(rate))

    async def _newest(self, query: Mapping[str, str], body: bytes) -> Answer:
        if self.store.fault is StoreFault.REFUSED:
            return _json(503, {})
        found = self.store.topics[query["topic"]]
        after = query.get("after", "")
        keys = sorted(key for key in found.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(found.newest[key].value).decode(),
                "offset": found.newest[key].offset,
            }
            for key in keys[:PAGE_KEYS]
        ]
        more = len(keys) > PAGE_KEYS
        fields = {"items": items, "more": more, "end": found.end}
        return Answer(200, [], self._body(orjson.dumps(fields)))

    async def _append(self, query: Mapping[str, str], body: bytes) -> Answer:
        if self.store.fault is StoreFault.REFUSED:
            return _json(503, {})
        topic = query["topic"]
        position, offset = 0, self.store.topics[topic].end
        while position < len(body):
            (length,) = LENGTH.unpack_from(body, position)
            position += LENGTH.size
            record = body[position : position + length]
            position += length
            key = record[1 : 1 + record[0]].decode()
            self.store.append(topic, key, record[1 + record[0] :])
        end = self.store.topics[topic].end
        return _json(200, {"offset": offset, "end": end})


def _json(status: int, fields: Mapping[str, object]) -> Answer:
    return Answer(status, [], BytesBody(orjson.dumps(fields)))


def _frame(key: str, value: bytes) -> bytes:
    name = key.encode()
    record = bytes([len(name)]) + name + value
    return LENGTH.pack(len(record)) + record


def store_server(store: MemoryStore) -> CallerServer:
    """Return a server of `store` on a port that the kernel chooses."""
    settings = default_settings(callers={"listen": "127.0.0.1:0"})
    return CallerServer(settings, StoreHandler(store), Metrics())
