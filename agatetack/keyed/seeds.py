"""Let a starting host copy the store's records from a running host.

Each store call costs money, and a starting host would need one for each page of
each topic. Instead it asks its seeds, a few hosts that its settings name, and
reads the store itself if none answers soon. A seed also registers the hosts
that ask it, many of them with one call.
"""

import contextlib
import dataclasses
import math
import zlib
from collections.abc import Mapping, Sequence

import trio

from agatetack.decisions import DecisionLog
from agatetack.generated.keyed import ttypes as wire
from agatetack.hosts.member_directory import MemberDirectory
from agatetack.ids import Deadline
from agatetack.keyed.follower import TopicFollower
from agatetack.keyed.generations import GenerationSource, StoreGenerations
from agatetack.keyed.messages import (
    age_ms,
    carried_of,
    page_of,
    records_since,
    time_before,
)
from agatetack.logs import PartLog
from agatetack.metrics import Metrics
from agatetack.settings.model import Settings
from agatetack.settings.section import Endpoint
from agatetack.streams import (
    open_plain_stream,
    serve_streams,
    trio_listener,
)
from agatetack.thrift_codec import decode, encode

SEEDS_TIMEOUT_SECONDS = 0.2
"""How long a starting host waits for its seeds. Callers wait for the same time;
reading the store afterwards takes another 30 ms or so."""

NEXT_SEED_SECONDS = 0.06
"""When a seed has not answered for this long, the next one is asked as well,
because the first may be unresponsive."""

RETRY_SECONDS = 0.02
"""Pause before asking a seed again that refused the connection. Hosts that are
started together are up within some 100 ms of each other."""

SERVE_TIMEOUT_SECONDS = 1.0
"""Maximum time for a starting host to send its request and receive the
answer."""

POLL_SECONDS = 0.005
"""How often a seed that is starting checks whether it has read all topics."""

MAX_REQUEST_BYTES = 4096
"""Maximum request size; a registration has some 100 bytes."""

MAX_REPLY_BYTES = 64 << 20
"""Maximum answer size, both compressed and decompressed."""

LENGTH_BYTES = 4
"""Size of the length prefix of each block."""

MAX_AGES_BYTES = 4096
"""Maximum size of the ages that follow an answer."""

log = DecisionLog("keyed")
part_log = PartLog("keyed")


class CutBlock(ValueError):
    """A connection ended within a block, or before it."""


@dataclasses.dataclass(frozen=True, slots=True)
class TopicState:
    """The state of a topic for which an answer was encoded.

    Attributes:
        changes: The number of changes to the topic's valid records.
        in_touch: Whether the topic's follower is current.
    """

    changes: int
    in_touch: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SeedAnswer:
    """What a seed has answered.

    Attributes:
        seed: The seed.
        reply: The topics with their records.
        complete_at: When the store last held no other records, by topic; it may
            have been later. A topic of which the seed doesn't say it is
            missing.
    """

    seed: Endpoint
    reply: wire.StartReply
    complete_at: Mapping[str, Deadline]


class SeedServer:
    """Sends the records that this host has read to starting hosts.

    Attributes:
        content: The encoded answer, valid while topics match `content_of`.
        content_of: The state of each topic when `content` was encoded.
    """

    def __init__(
        self,
        settings: Settings,
        followers: Sequence[TopicFollower],
        members: MemberDirectory,
        metrics: Metrics,
    ):
        """Send the records of `followers`; register hosts in `members`."""
        self.settings = settings
        self.followers = followers
        self.members = members
        self.content = b""
        self.content_of: list[TopicState] = []
        self.asked = metrics.counter(
            "agatetack_start_requests_total",
            "Hosts that asked for a start from this one, by result.",
        )

    async def run(
        self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; report the port, 0 if there is none."""
        listen = self.settings.peers.seed_listen
        if listen is None:
            task_status.started(0)
            return
        listener = trio_listener(listen.host, listen.port)
        task_status.started(listener.socket.getsockname()[1])
        await serve_streams(listener, self._serve, part_log)

    async def _serve(self, stream: trio.abc.Stream) -> None:
        with trio.move_on_after(SERVE_TIMEOUT_SECONDS) as scope:
            try:
                await self._answer(stream)
            except (trio.BrokenResourceError, ValueError) as error:
                self.asked.inc({"result": "failed"})
                log.note("start-not-told", cause=str(error))
            except Exception:
                self.asked.inc({"result": "failed"})
                raise
        if scope.cancelled_caught:
            self.asked.inc({"result": "late"})
        await trio.aclose_forcefully(stream)

    async def _answer(self, stream: trio.abc.Stream) -> None:
        content = await _receive_block(stream, MAX_REQUEST_BYTES)
        request = decode(wire.StartRequest, content)
        while request.waits and not self._knows_all():
            await trio.sleep(POLL_SECONDS)
        await stream.send_all(_block(self._reply()) + _block(self._ages()))
        self.asked.inc({"result": "told" if self._knows_all() else "unknown"})
        self.members.register_other(request.host, request.member)

    def _knows_all(self) -> bool:
        return all(each.content.position is not None for each in self.followers)

    def _ages(self) -> bytes:
        """Return how old the records are that this host has read.

        They change all the time, so they are not a part of the cached answer.
        """
        ages = {each.name: age_ms(each.complete_at) for each in self.followers}
        return encode(wire.StartAges(ages))

    def _reply(self) -> bytes:
        """Return the encoded answer, cached until a topic changes."""
        if not self._knows_all():
            return zlib.compress(encode(wire.StartReply([])))
        known = [
            TopicState(each.content.changes, each.is_current)
            for each in self.followers
        ]
        if known != self.content_of:
            topics = [_topic(each) for each in self.followers]
            reply = encode(wire.StartReply(topics))
            self.content = zlib.compress(reply, level=1)
            self.content_of = known
        return self.content


class SeedClient:
    """Copies the store's records from a seed when this host starts.

    Attributes:
        own: The address at which this host serves starting hosts, or None.
        seeds: The seeds, without this host.
        is_seed: Whether this host is one of them.
    """

    def __init__(
        self,
        settings: Settings,
        followers: Sequence[TopicFollower],
        metrics: Metrics,
        generations: StoreGenerations,
    ):
        """Let `followers` start from a seed's records."""
        self.generations = generations
        self.own = settings.peers.seed_listen
        self.seeds = [s for s in settings.peers.seeds if s != self.own]
        self.is_seed = len(self.seeds) < len(settings.peers.seeds)
        self.followers = {each.name: each for each in followers}
        self.starts = metrics.counter(
            "agatetack_starts_total",
            "Starts of this host, by where it learned what is in the store.",
        )

    async def start(self, host: str, member: bytes) -> bool:
        """Copy a seed's records, unless no seed answers soon.

        Args:
            host: The key under which this host registers.
            member: The registration.

        Returns:
            Whether a seed answered; it then registers this host.
        """
        request = wire.StartRequest(host, member, not self.is_seed)
        content = encode(request)
        answer = await self._ask_all(content) if self.seeds else None
        if answer is None:
            self.starts.inc({"from": "store"})
            return False
        self._take(answer)
        self.starts.inc({"from": "seed"})
        return True

    async def _ask_all(self, request: bytes) -> SeedAnswer | None:
        """Return the first complete answer, or None."""
        answers, answered = trio.open_memory_channel[SeedAnswer](
            len(self.seeds)
        )
        answer = None
        with trio.move_on_after(SEEDS_TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                for number, seed in enumerate(self._in_turn()):
                    nursery.start_soon(
                        self._ask, seed, number, request, answers.clone()
                    )
                answers.close()
                with contextlib.suppress(trio.EndOfChannel):
                    answer = await answered.receive()
                nursery.cancel_scope.cancel()
        return answer

    def _in_turn(self) -> Sequence[Endpoint]:
        """Return the seeds, rotated so that hosts start with different ones."""
        own = "" if self.own is None else f"{self.own.host}:{self.own.port}"
        first = zlib.crc32(own.encode()) % max(1, len(self.seeds))
        return [*self.seeds[first:], *self.seeds[:first]]

    async def _ask(
        self,
        seed: Endpoint,
        number: int,
        request: bytes,
        answers: trio.MemorySendChannel[SeedAnswer],
    ) -> None:
        """Ask one seed until it answers; once only if this host is a seed."""
        async with answers:
            await trio.sleep(number * NEXT_SEED_SECONDS)
            while True:
                answer = await self._ask_once(seed, request)
                if answer is not None:
                    if answer.reply.topics:
                        self._note_generations(seed, answer.reply)
                        answers.send_nowait(answer)
                    return
                if self.is_seed:
                    return
                await trio.sleep(RETRY_SECONDS)

    async def _ask_once(
        self, seed: Endpoint, request: bytes
    ) -> SeedAnswer | None:
        asked_at = trio.current_time()
        try:
            stream = await open_plain_stream(seed.host, seed.port)
        except OSError as error:
            log.note("seed-unreachable", seed=seed.host, cause=str(error))
            return None
        try:
            await stream.send_all(_block(request))
            reply = await _receive_block(stream, MAX_REPLY_BYTES)
            ages = await _receive_ages(stream)
            return read_answer(seed, Deadline(asked_at), reply, ages)
        except (trio.BrokenResourceError, ValueError, zlib.error) as error:
            log.note("seed-failed", seed=seed.host, cause=str(error))
            return None
        finally:
            await trio.aclose_forcefully(stream)

    def _note_generations(self, seed: Endpoint, reply: wire.StartReply) -> None:
        for entry in reply.topics:
            self.generations.note(
                page_of(entry.records).generation,
                GenerationSource.SEED,
                seed.host,
            )

    def _take(self, answer: SeedAnswer) -> None:
        log.note("started-from-seed", seed=answer.seed.host)
        for entry in answer.reply.topics:
            follower = self.followers.get(entry.topic)
            if follower is None:
                continue
            page, carried = page_of(entry.records), carried_of(entry.records)
            complete_at = Deadline(-math.inf)
            if entry.records.sound:
                complete_at = answer.complete_at.get(entry.topic, complete_at)
            follower.start_from(page, complete_at, carried)


def _topic(follower: TopicFollower) -> wire.StartTopic:
    records = records_since(follower, None)
    records.sound = follower.is_current
    return wire.StartTopic(follower.name, records)


def _block(content: bytes) -> bytes:
    """Return `content` with its length before it."""
    return len(content).to_bytes(LENGTH_BYTES, "big") + content


def read_answer(
    seed: Endpoint, asked_at: Deadline, reply: bytes, ages: bytes
) -> SeedAnswer:
    """Return the answer of a seed.

    Args:
        seed: The seed.
        asked_at: When it was asked. The answer may have been on its way for
            any time, so ages count from then.
        reply: The compressed reply.
        ages: The block after it; empty if the seed is of an older version.

    Raises:
        ValueError: A block is malformed.
        zlib.error: The reply can't be decompressed.
    """
    text = zlib.decompressobj().decompress(reply, MAX_REPLY_BYTES)
    ages_ms = decode(wire.StartAges, ages).answer_age_ms if ages else {}
    complete_at = {
        topic: time_before(asked_at, found) for topic, found in ages_ms.items()
    }
    return SeedAnswer(seed, decode(wire.StartReply, text), complete_at)


async def _receive_ages(stream: trio.abc.Stream) -> bytes:
    """Return the ages that follow a seed's reply.

    A seed of an older version closes the connection instead.
    """
    try:
        return await _receive_block(stream, MAX_AGES_BYTES)
    except (trio.BrokenResourceError, CutBlock):
        return b""


async def _receive_block(stream: trio.abc.Stream, most: int) -> bytes:
    """Return one length-prefixed block.

    Raises:
        ValueError: It is too long, or the connection ended within it.
    """
    head = await _receive_exactly(stream, LENGTH_BYTES)
    length = int.from_bytes(head, "big")
    if length > most:
        raise ValueError(f"a block of {length} bytes")
    return await _receive_exactly(stream, length)


async def _receive_exactly(stream: trio.abc.Stream, count: int) -> bytes:
    parts = bytearray()
    while len(parts) < count:
        part = await stream.receive_some(count - len(parts))
        if not part:
            raise CutBlock(f"cut after {len(parts)} of {count} bytes")
        parts += part
    return bytes(parts)
