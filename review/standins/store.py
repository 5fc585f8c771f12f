"""Stand in for the platform's metadata store, in memory."""

import asyncio
import base64
import json
import struct
import urllib.parse
from collections import defaultdict
from collections.abc import Mapping

from review.standins.http import Connection, Message, write_answer

LENGTH = struct.Struct(">I")
READ_HEAD = struct.Struct(">QQ")
PAGE_KEYS = 500
CALL_SECONDS = 0.004


class Topic:
    """One keyed topic: all its records, and the newest one of each key."""

    def __init__(self) -> None:
        """Start empty."""
        self.records: list[tuple[bytes, bytes]] = []
        self.newest: dict[bytes, int] = {}


class Store:
    """Keyed topics with the calls `log-append`, `log-read`, `log-newest`.

    Attributes:
        silent: Topics whose calls get no answer now. A channel on which an
            answer was lost returns nothing any more.
        lost: Number of calls whose answers were lost.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.topics: dict[str, Topic] = defaultdict(Topic)
        self.appended = asyncio.Condition()
        self.address = ""
        self.silent: set[str] = set()
        self.lost = 0

    async def go_silent(self, topic: str, seconds: float) -> None:
        """Lose all answers to calls of a topic for a while."""
        self.silent.add(topic)
        await asyncio.sleep(seconds)
        self.silent.discard(topic)

    async def start(self) -> None:
        """Listen on a free loopback port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def put(self, topic: str, key: str, value: object) -> None:
        """Append a record as the operator or a server does; None removes."""
        text = b"" if value is None else json.dumps(value).encode()
        await self._add(topic, [(key.encode(), text)])

    async def _add(self, topic: str, records: list[tuple[bytes, bytes]]) -> int:
        found = self.topics[topic]
        first = len(found.records)
        for key, value in records:
            if value:
                found.newest[key] = len(found.records)
            else:
                found.newest.pop(key, None)
            found.records.append((key, value))
        async with self.appended:
            self.appended.notify_all()
        return first

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(reader, writer)
        try:
            while (request := await connection.read_request()) is not None:
                await asyncio.sleep(CALL_SECONDS)
                if await self._answer_or_lose(request, writer):
                    continue
                self.lost += 1
                await reader.read()
                return
        except (OSError, EOFError, asyncio.CancelledError):
            # The other end has gone, or the case is over.
            pass
        finally:
            writer.close()

    async def _answer_or_lose(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a call; return False if its answer is lost."""
        _, _, text = request.path.partition("?")
        topic = dict(urllib.parse.parse_qsl(text)).get("topic", "")
        status, body = await self._answer(request)
        if topic in self.silent:
            return False
        await write_answer(writer, status, [], body)
        return True

    async def _answer(self, request: Message) -> tuple[int, bytes]:
        path, _, text = request.path.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        topic = self.topics[query.get("topic", "")]
        if path == "/agatetack/log-append":
            records = list(_split(request.body))
            offset = await self._add(query["topic"], records)
            return 200, _json({"offset": offset, "end": len(topic.records)})
        if path == "/agatetack/log-read":
            return await self._read(topic, query)
        if path == "/agatetack/log-newest":
            return 200, _newest(topic, query)
        return 404, b"{}"

    async def _read(
        self, topic: Topic, query: Mapping[str, str]
    ) -> tuple[int, bytes]:
        first = int(query["from"])
        wait = int(query.get("wait_ms", "0")) / 1000
        if first > len(topic.records):
            return 410, _json({"first": 0})
        try:
            async with asyncio.timeout(wait), self.appended:
                await self.appended.wait_for(lambda: len(topic.records) > first)
        except TimeoutError:
            pass
        content = READ_HEAD.pack(len(topic.records), 0)
        for key, value in topic.records[first:]:
            record = bytes([len(key)]) + key + value
            content += LENGTH.pack(len(record)) + record
        return 200, content


def _newest(topic: Topic, query: Mapping[str, str]) -> bytes:
    after = query.get("after", "").encode()
    keys = sorted(key for key in topic.newest if key > after)
    items = [
        {
            "key": key.decode(),
            "value": base64.b64encode(
                topic.records[topic.newest[key]][1]
            ).decode(),
            "offset": topic.newest[key],
        }
        for key in keys[:PAGE_KEYS]
    ]
    more = len(keys) > PAGE_KEYS
    return _json({"items": items, "more": more, "end": len(topic.records)})


def _split(body: bytes):
    position = 0
    while position < len(body):
        (length,) = LENGTH.unpack_from(body, position)
        position += LENGTH.size
        record = body[position : position + length]
        position += length
        end = 1 + record[0]
        yield record[1:end], record[end:]


def _json(fields: object) -> bytes:
    return json.dumps(fields).encode()
