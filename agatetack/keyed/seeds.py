"""Let a host that starts take over what another one has read of the store.

Each call of the store is paid for, and a host that starts would make one for
each page of each topic. It asks one of a few hosts that its settings name, its
seeds, and reads for itself when none of them answers soon. A seed also
registers those that ask it, many of them with one call.
"""

import contextlib
import dataclasses
import zlib
from collections.abc import Sequence

import trio

from agatetack.decisions import DecisionLog
from agatetack.generated.keyed import ttypes as wire
from agatetack.hosts.member_directory import MemberDirectory
from agatetack.keyed.follower import TopicFollower
from agatetack.keyed.generations import GenerationSource, StoreGenerations
from agatetack.keyed.messages import carried_of, page_of, records_since
from agatetack.keyed.readers import FleetReaders
from agatetack.metrics import Metrics
from agatetack.settings.model import Settings
from agatetack.settings.section import Endpoint
from agatetack.streams import open_plain_stream
from agatetack.thrift_codec import decode, encode

ASK_SECONDS = 0.2
"""Longest time that a host which starts waits for its seeds. Callers wait as
long; reading the store takes some 30 ms after it."""

NEXT_SEED_SECONDS = 0.06
"""A seed that has not answered for this long is not waited for alone: it may
be dark, and the next one is asked beside it."""

RETRY_SECONDS = 0.02
"""Pause before a seed that refused the connection is asked again: hosts that
are started together are up within some 100 ms of each other."""

GIVE_SECONDS = 1.0
"""Longest time for a host that starts to send its request and take the
answer."""

POLL_SECONDS = 0.005
"""How often a seed that starts itself looks whether it has read all."""

MAX_REQUEST_BYTES = 4096
"""Longest request; a registration has some 100 bytes."""

MAX_REPLY_BYTES = 64 << 20
"""Longest answer, compressed or not."""

LENGTH_BYTES = 4
"""Bytes of the length in front of each block."""

log = DecisionLog("keyed")


@dataclasses.dataclass(frozen=True, slots=True)
class TopicState:
    """What is known of a topic.

    Attributes:
        changes: How often that has changed.
        in_touch: Whether the store is there for whoever reads it.
    """

    changes: int
    in_touch: bool


class SeedServer:
    """Tells hosts that start what this one has read.

    Attributes:
        content: The answer while topics are as in `content_of`.
        content_of: For each topic how often it has changed, and whether the
            store is there.
    """

    def __init__(
        self,
        settings: Settings,
        followers: Sequence[TopicFollower],
        members: MemberDirectory,
        metrics: Metrics,
    ):
        """Tell what `followers` have read; register hosts in `members`."""
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
        """Answer until cancelled; report the port, 0 if there is none."""
        listen = self.settings.peers.seed_listen
        if listen is None:
            task_status.started(0)
            return
        listeners = await trio.open_tcp_listeners(listen.port, host=listen.host)
        task_status.started(listeners[0].socket.getsockname()[1])
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream: trio.abc.Stream) -> None:
        with trio.move_on_after(GIVE_SECONDS) as scope:
            try:
                await self._answer(stream)
            except (trio.BrokenResourceError, ValueError) as error:
                self.asked.inc({"result": "failed"})
                log.note("start-not-told", cause=str(error))
        if scope.cancelled_caught:
            self.asked.inc({"result": "late"})
        await trio.aclose_forcefully(stream)

    async def _answer(self, stream: trio.abc.Stream) -> None:
        content = await _receive_block(stream, MAX_REQUEST_BYTES)
        request = decode(wire.StartRequest, content)
        while request.waits and not self._knows_all():
            await trio.sleep(POLL_SECONDS)
        reply = self._reply()
        await stream.send_all(len(reply).to_bytes(LENGTH_BYTES, "big") + reply)
        self.asked.inc({"result": "told" if self._knows_all() else "unknown"})
        self.members.register_other(request.host, request.member)

    def _knows_all(self) -> bool:
        return all(each.content.position is not None for each in self.followers)

    def _reply(self) -> bytes:
        """Return the answer, which is the same until a topic goes on."""
        if not self._knows_all():
            return zlib.compress(encode(wire.StartReply([])))
        known = [
            TopicState(each.content.changes, each.reachable)
            for each in self.followers
        ]
        if known != self.content_of:
            topics = [_topic(each) for each in self.followers]
            reply = encode(wire.StartReply(topics))
            self.content = zlib.compress(reply, level=1)
            self.content_of = known
        return self.content


class SeedClient:
    """Asks the seeds for a start.

    Attributes:
        own: The address at which this host answers others, or None.
        seeds: The seeds, without this host.
        is_seed: Whether this host is one of them.
    """

    def __init__(
        self,
        settings: Settings,
        followers: Sequence[TopicFollower],
        readers: FleetReaders,
        metrics: Metrics,
        generations: StoreGenerations,
    ):
        """Let `followers` start from what a seed tells."""
        self.generations = generations
        self.own = settings.peers.seed_listen
        self.seeds = [s for s in settings.peers.seeds if s != self.own]
        self.is_seed = len(self.seeds) < len(settings.peers.seeds)
        self.followers = {each.name: each for each in followers}
        self.readers = readers
        self.starts = metrics.counter(
            "agatetack_starts_total",
            "Starts of this host, by where it learned what is in the store.",
        )

    async def start(self, host: str, member: bytes) -> bool:
        """Take over what a seed has read, unless none answers soon.

        Args:
            host: The key under which this host registers.
            member: What it registers.

        Returns:
            Whether a seed answered, which then registers this host.
        """
        request = wire.StartRequest(host, member, not self.is_seed)
        content = encode(request)
        reply = await self._ask_all(content) if self.seeds else None
        if reply is None:
            self.starts.inc({"from": "store"})
            return False
        self._take(reply)
        self.starts.inc({"from": "seed"})
        return True

    async def _ask_all(self, request: bytes) -> wire.StartReply | None:
        """Return the first whole answer, or None."""
        answers, answered = trio.open_memory_channel[wire.StartReply](
            len(self.seeds)
        )
        reply = None
        with trio.move_on_after(ASK_SECONDS):
            async with trio.open_nursery() as nursery:
                for number, seed in enumerate(self._in_turn()):
                    nursery.start_soon(
                        self._ask, seed, number, request, answers.clone()
                    )
                answers.close()
                with contextlib.suppress(trio.EndOfChannel):
                    reply = await answered.receive()
                nursery.cancel_scope.cancel()
        return reply

    def _in_turn(self) -> Sequence[Endpoint]:
        """Return the seeds, each host with another one first."""
        own = "" if self.own is None else f"{self.own.host}:{self.own.port}"
        first = zlib.crc32(own.encode()) % max(1, len(self.seeds))
        return [*self.seeds[first:], *self.seeds[:first]]

    async def _ask(
        self,
        seed: Endpoint,
        number: int,
        request: bytes,
        answers: trio.MemorySendChannel[wire.StartReply],
    ) -> None:
        """Ask one seed until it answers; a seed asks the others once."""
        async with answers:
            await trio.sleep(number * NEXT_SEED_SECONDS)
            while True:
                reply = await self._ask_once(seed, request)
                if reply is not None:
                    if reply.topics:
                        self._note_generations(seed, reply)
                        answers.send_nowait(reply)
                    return
                if self.is_seed:
                    return
                await trio.sleep(RETRY_SECONDS)

    async def _ask_once(
        self, seed: Endpoint, request: bytes
    ) -> wire.StartReply | None:
        try:
            stream = await open_plain_stream(seed.host, seed.port)
        except OSError as error:
            log.note("seed-unreachable", seed=seed.host, cause=str(error))
            return None
        try:
            size = len(request).to_bytes(LENGTH_BYTES, "big")
            await stream.send_all(size + request)
            content = await _receive_block(stream, MAX_REPLY_BYTES)
            inflater = zlib.decompressobj()
            text = inflater.decompress(content, MAX_REPLY_BYTES)
            return decode(wire.StartReply, text)
        except (trio.BrokenResourceError, ValueError, zlib.error) as error:
            log.note("seed-failed", seed=seed.host, cause=str(error))
            return None
        finally:
            await trio.aclose_forcefully(stream)

    def _note_generations(self, seed: Endpoint, reply: wire.StartReply) -> None:
        for told in reply.topics:
            self.generations.note(
                page_of(told.records).generation,
                GenerationSource.SEED,
                seed.host,
            )

    def _take(self, reply: wire.StartReply) -> None:
        for told in reply.topics:
            follower = self.followers.get(told.topic)
            if follower is None:
                continue
            in_touch = bool(told.records.sound)
            page, carried = page_of(told.records), carried_of(told.records)
            follower.start_from(page, in_touch, carried)
            if in_touch:
                self.readers.trust(told.topic)


def _topic(follower: TopicFollower) -> wire.StartTopic:
    told = records_since(follower, None)
    told.sound = follower.reachable
    return wire.StartTopic(follower.name, told)


async def _receive_block(stream: trio.abc.Stream, most: int) -> bytes:
    """Return one block that follows its length.

    Raises:
        ValueError: It is too long, or is cut.
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
            raise ValueError(f"cut after {len(parts)} of {count} bytes")
        parts += part
    return bytes(parts)
