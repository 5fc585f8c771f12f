"""Client of the platform's metadata store, over HTTP."""

import base64
import dataclasses
import struct
import urllib.parse
from collections.abc import Callable, Iterator, Mapping

import orjson
import trio

from agatetack.http_call import CallFailed, PlatformClient, PlatformRequest
from agatetack.ids import Deadline, LogOffset, StoreGeneration
from agatetack.keyed.generations import StoreGenerations, read_generation
from agatetack.keyed.topic import (
    SLOWEST_BYTES_PER_SECOND,
    KeyedRecord,
    KeyedTopic,
    TopicPage,
    TopicRestored,
    TopicTruncated,
    TopicUnavailable,
    readable_records,
)
from agatetack.settings.model import Settings

HTTP_OK = 200
HTTP_GONE = 410

GENERATION_HEADER = b"store-era"

RECORD_LENGTH = struct.Struct(">I")
READ_HEADER = struct.Struct(">QQ")
"""Header of a read's body: the topic's end offset and the first offset that is
still retained. The records follow."""

PARTITION = 0
"""The only partition of a keyed topic."""

MAX_REPLY_BYTES = 8 << 20
"""Longest reply that is read; the store sends 1 MB of records at most, which
take a third more as base64."""

MAX_OFFSET = 2**63 - 1
"""Highest offset; peers get it as a signed integer of 64 bits."""

MAX_PAGES = 1000
"""Most pages, of 500 keys each, that are read for one listing. It ends the
loop if the store always reports that another page follows."""


def topic_name(name: str) -> str:
    """Return the store's name for one of the load balancer's own topics."""
    return f"keyed.{name}"


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReply:
    """A complete reply of the store.

    Attributes:
        status: The HTTP status.
        body: The whole body.
        generation: The generation of the store that sent it.
    """

    status: int
    body: bytes
    generation: StoreGeneration


class StoreClient:
    """Client of the store at the address in the settings.

    Attributes:
        generations: Tracks the generation that the store's replies report.
    """

    def __init__(self, settings: Settings, generations: StoreGenerations):
        """Create a client; it connects on the first call."""
        store = settings.platform.store
        self.generations = generations
        self.http_client = PlatformClient(
            store.endpoint, store.timeout_seconds, store.silent_seconds
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self.http_client.aclose()

    async def call(
        self,
        method: str,
        path: str,
        query: Mapping[str, object],
        deadline: Deadline,
        body: bytes = b"",
        on_reply: Callable[[int | None], None] | None = None,
    ) -> StoreReply:
        """Send one request to the store, without a retry.

        Raises:
            TopicUnavailable: No complete reply arrived.
        """
        text = urllib.parse.urlencode(query)
        request = PlatformRequest(
            method,
            f"{path}?{text}",
            deadline,
            body,
            max_reply_bytes=MAX_REPLY_BYTES,
            slowest_bytes_per_second=SLOWEST_BYTES_PER_SECOND,
            on_reply=on_reply,
        )
        generation_before = self.generations.newest
        try:
            reply = await self.http_client.call(request)
        except CallFailed as error:
            raise TopicUnavailable(str(error), error.sent) from error
        read = read_generation(reply.headers.get(GENERATION_HEADER))
        generation = self.generations.note_reply(read, generation_before, path)
        return StoreReply(reply.status, reply.body, generation)


class StoreTopic(KeyedTopic):
    """One keyed topic of the store."""

    def __init__(self, client: StoreClient, name: str):
        """Create a client of the topic `name`."""
        self.client = client
        self.name = name

    async def newest(self, deadline: Deadline) -> TopicPage:
        """Return the newest record of each key.

        Raises:
            TopicRestored: The store was restored to an earlier state, and so
                lost records, between two pages.
            TopicUnavailable: They could not be read before `deadline`.
        """
        records: list[KeyedRecord] = []
        generations: set[StoreGeneration] = set()
        end: int | None = None
        after: str | None = None
        for _ in range(MAX_PAGES):
            query = {"topic": self.name, "part": PARTITION}
            if after is not None:
                query["after"] = after
            reply = await self.client.call(
                "GET", "/agatetack/log-newest", query, deadline
            )
            if reply.status != HTTP_OK:
                raise TopicUnavailable(f"status {reply.status}")
            generations.add(reply.generation)
            if len(generations) > 1:
                raise TopicRestored
            part = _read_newest(reply.body, self.name)
            records += part.page.records
            # A later page may already contain records behind the end of an
            # earlier one. The smallest end makes `read` return those again,
            # so that no record is missed.
            end = part.page.end if end is None else min(end, part.page.end)
            if not part.more:
                return TopicPage(records, LogOffset(end), reply.generation)
            after = part.last_key
        raise TopicUnavailable("the store reports too many pages")

    async def read(
        self,
        first: LogOffset,
        wait_until: Deadline,
        deadline: Deadline,
        on_answer: Callable[[int | None], None] | None = None,
    ) -> TopicPage:
        """Return the records from offset `first` on.

        If there are none yet, waits for one until `wait_until`.

        Raises:
            TopicTruncated: The record at `first` is no longer retained.
            TopicUnavailable: The topic could not be read before `deadline`.
        """
        wait = max(0.0, wait_until - trio.current_time())
        query = {
            "topic": self.name,
            "part": PARTITION,
            "from": first,
            "wait_ms": int(wait * 1000),
        }
        reply = await self.client.call(
            "GET", "/agatetack/log-read", query, deadline, b"", on_answer
        )
        if reply.status == HTTP_GONE:
            raise TopicTruncated
        if reply.status != HTTP_OK:
            raise TopicUnavailable(f"status {reply.status}")
        return _read_records(reply, first, self.name)

    async def append_all(
        self, values: Mapping[str, bytes], deadline: Deadline
    ) -> LogOffset:
        """Append one record for each key atomically; return the first offset.

        Raises:
            TopicUnavailable: The append failed, or its outcome is unknown.
        """
        body = b"".join(_record(key, value) for key, value in values.items())
        reply = await self.client.call(
            "POST",
            "/agatetack/log-append",
            {"topic": self.name, "part": PARTITION},
            deadline,
            body,
        )
        if reply.status != HTTP_OK:
            raise TopicUnavailable(f"status {reply.status}")
        if reply.generation < self.client.generations.newest:
            raise TopicUnavailable("an answer of an earlier generation", True)
        try:
            return _offset(orjson.loads(reply.body)["offset"])
        except (KeyError, TypeError, ValueError) as error:
            raise TopicUnavailable(f"malformed reply: {error}", True) from error


@dataclasses.dataclass(frozen=True, slots=True)
class _NewestPart:
    """One page of a listing of the newest records.

    Attributes:
        page: The records, and the topic's end when the store wrote the page.
        more: Whether another page follows.
        last_key: The last key on the page, after which the next one begins.
    """

    page: TopicPage
    more: bool
    last_key: str | None


def _record(key: str, value: bytes) -> bytes:
    name = key.encode()
    record = bytes([len(name)]) + name + value
    return RECORD_LENGTH.pack(len(record)) + record


def _offset(value: object) -> LogOffset:
    """Return an offset; raises ValueError if it is out of range."""
    offset = int(value)
    if not 0 <= offset <= MAX_OFFSET:
        raise ValueError(f"{offset} is not an offset")
    return LogOffset(offset)


def _read_newest(body: bytes, topic: str) -> _NewestPart:
    try:
        fields = orjson.loads(body)
        items = [
            (_offset(item["offset"]), (item["key"], item["value"]))
            for item in fields["items"]
        ]
        end = _offset(fields["end"])
        keys = [key for _, (key, _) in items if isinstance(key, str)]
        more = bool(fields["more"] and keys)
    except (KeyError, TypeError, ValueError) as error:
        raise TopicUnavailable(f"malformed reply: {error}") from error
    page = TopicPage(readable_records(topic, items, _read_item), end)
    return _NewestPart(page, more, keys[-1] if keys else None)


def _read_records(reply: StoreReply, first: LogOffset, topic: str) -> TopicPage:
    try:
        store_end, _ = READ_HEADER.unpack_from(reply.body)
        contents = list(enumerate(_split_records(reply.body), first))
    except (struct.error, IndexError) as error:
        raise TopicUnavailable(f"malformed reply: {error}") from error
    # One reply need not contain all records up to the end.
    end = LogOffset(first + len(contents))
    records = readable_records(topic, contents, _read_record)
    return TopicPage(records, end, reply.generation, more=end < store_end)


def _split_records(body: bytes) -> Iterator[bytes]:
    position = READ_HEADER.size
    while position < len(body):
        (length,) = RECORD_LENGTH.unpack_from(body, position)
        position += RECORD_LENGTH.size
        record = body[position : position + length]
        if len(record) < length:
            raise IndexError("truncated record")
        position += length
        yield record


def _read_item(item: tuple[object, object]) -> tuple[str, bytes]:
    """Return key and value; raises TypeError or ValueError if malformed."""
    key, value = item
    if not isinstance(key, str):
        raise TypeError("the key is not a string")
    return key, base64.b64decode(value)


def _read_record(content: bytes) -> tuple[str, bytes]:
    """Return key and value; raises ValueError if it ends within its key."""
    key_end = 1 + content[0] if content else 1
    if key_end > len(content):
        raise ValueError("it ends within its key")
    return content[1:key_end].decode(), content[key_end:]
