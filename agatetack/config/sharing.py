"""Replicate configuration records between hosts.

Peers forward records unchanged, with their offsets in the log. A host folds
them only in order, and only if their chained checksum matches its own. So the
result is the same whether records come from the log or from peers.
"""

import random

import trio

from agatetack.clock import Clock
from agatetack.config.change import NO_VERSION
from agatetack.config.chunks import SnapshotReader, check_chunk
from agatetack.config.counters import Problem
from agatetack.config.records import BadRecord, decode, encode
from agatetack.config.serving import RecordServer
from agatetack.config.state import Batch, ConfigState, Source
from agatetack.generated.config import ttypes as wire
from agatetack.ids import Deadline, HostId, LogOffset
from agatetack.peers.exchange import Exchange, PeerUnreachable, Topic
from agatetack.settings.model import Settings

MAX_PUBLISH_BYTES = 4 * 1024
"""Maximum size of the records in one message to all peers."""


MAX_FETCH_CALLS = 2048
"""Maximum number of consecutive calls to one peer; a correct peer needs far
fewer."""

MIN_NOTICE_SECONDS = 0.2
"""Minimum interval between two notices to the peers."""

GOSSIP_ROUNDS = 1.5
"""Number of gossip rounds in which each live peer should report its version."""


class PeerSharing:
    """One host's exchange of configuration with its peers.

    Attributes:
        reported_versions: The last version that each peer has reported.
        version_reported: Set and replaced when a peer reports its version.
        all_reported_at: When every live peer should have reported its version.
    """

    def __init__(
        self,
        settings: Settings,
        exchange: Exchange,
        state: ConfigState,
        clock: Clock,
    ):
        """Start to serve peers; `announce` and `fetch` are separate tasks."""
        self.settings = settings.config
        self.exchange = exchange
        self.state = state
        self.clock = clock
        self.server = RecordServer(state)
        self.reported_versions: dict[HostId, LogOffset] = {}
        self.version_reported = trio.Event()
        self.all_reported_at: Deadline | None = None
        exchange.subscribe(Topic.CONFIG_RECORDS, self._on_records_message)
        exchange.subscribe(Topic.CONFIG_OFFSET, self._on_offset_message)
        exchange.serve(Topic.CONFIG_FETCH, self._serve_fetch)

    def publish_from(self, version: LogOffset) -> None:
        """Send records from `version` on to every peer, up to a size limit."""
        batch = self.server.batch_after(
            LogOffset(version - 1), MAX_PUBLISH_BYTES
        )
        if batch is not None:
            self.exchange.publish(Topic.CONFIG_RECORDS, encode(batch))

    async def wait_acknowledged(self, version: LogOffset) -> None:
        """Wait until a peer has `version`, at most `acknowledge_seconds`."""
        if not self.exchange.live_peers():
            return
        with trio.move_on_after(self.settings.acknowledge_seconds):
            while (
                max(self.reported_versions.values(), default=NO_VERSION)
                < version
            ):
                await self.version_reported.wait()
            return
        self.state.counters.count_problem(Problem.NOT_ACKNOWLEDGED)

    async def announce(self) -> None:
        """Announce this host's version to its peers, until cancelled."""
        while True:
            changed = self.state.changed
            if self.state.ready:
                notice = encode(self.server.notice())
                self.exchange.publish(Topic.CONFIG_OFFSET, notice)
            # Combines the notices of a burst of changes into one.
            await trio.sleep(MIN_NOTICE_SECONDS)
            # Jitter, so that hosts that started together do not all pause at
            # the same time.
            wait = self.settings.gossip_seconds * random.uniform(0.5, 1)
            with trio.move_on_after(wait):
                await changed.wait()

    def _on_offset_message(self, sender: HostId, payload: bytes) -> None:
        try:
            notice = decode(wire.OffsetNotice(), payload)
        except BadRecord as problem:
            self._report_bad_message(sender, problem)
            return
        self._on_notice(sender, notice)

    def _on_notice(self, sender: HostId, notice: wire.OffsetNotice) -> None:
        fold = self.state.fold
        if notice.version == fold.version and notice.chain != fold.chain:
            self._report_chain_mismatch(sender)
        self.reported_versions[sender] = LogOffset(notice.version)
        if self.all_reported_at is None:
            wait = GOSSIP_ROUNDS * self.settings.gossip_seconds
            self.all_reported_at = Deadline(self.clock.now() + wait)
        self.version_reported.set()
        self.version_reported = trio.Event()

    def _on_records_message(self, sender: HostId, payload: bytes) -> None:
        try:
            record = decode(wire.RecordBatch(), payload)
        except BadRecord as problem:
            self._report_bad_message(sender, problem)
            return
        if self._continues_fold(sender, record):
            batch = Batch(LogOffset(record.first), record.payloads)
            self.state.fold_batch(batch, Source.PEER)

    def _continues_fold(self, sender: HostId, record: wire.RecordBatch) -> bool:
        """Return whether a batch continues this host's fold and checksum."""
        batch = Batch(LogOffset(record.first), record.payloads)
        if batch.last <= self.state.fold.version:
            return False
        chain = self.state.chain_after(batch)
        if chain is None:
            return False
        if chain != record.chain:
            self._report_chain_mismatch(sender)
            return False
        return True

    async def fetch(self) -> None:
        """Fetch missing records from peers, until cancelled."""
        while True:
            version_reported = self.version_reported
            if not self._peers_ahead():
                self._end_bootstrap()
                with trio.move_on_after(self.settings.gossip_seconds):
                    await version_reported.wait()
                continue
            # In most cases the record arrives from the log in this time.
            await trio.sleep(
                self.settings.fetch_delay_seconds * random.uniform(0, 2)
            )
            newest_peers = self._peers_ahead()
            if newest_peers:
                await self._fetch_from(random.choice(newest_peers))

    def _peers_ahead(self) -> list[HostId]:
        live = {peer.id for peer in self.exchange.live_peers()}
        self.reported_versions = {
            host: version
            for host, version in self.reported_versions.items()
            if host in live
        }
        newest = max(self.reported_versions.values(), default=NO_VERSION)
        if newest <= self.state.fold.version:
            return []
        return [
            h
            for h, version in self.reported_versions.items()
            if version == newest
        ]

    def _end_bootstrap(self) -> None:
        # While the log is unavailable, a host is ready once it has the newest
        # version among its peers. It waits until all should have reported, as
        # the first one to report may be behind the others.
        if (
            self.reported_versions
            and self.all_reported_at is not None
            and self.clock.now() >= self.all_reported_at
        ):
            self.state.mark_ready()

    async def _fetch_from(self, peer: HostId) -> None:
        reader = SnapshotReader()
        request = wire.FetchRequest(version=self.state.fold.version)
        try:
            for _ in range(MAX_FETCH_CALLS):
                reply = await self._call_fetch(peer, request)
                request = await self._apply_reply(peer, reply, reader)
                if request is None:
                    return
        except PeerUnreachable as error:
            self.reported_versions.pop(peer, None)
            self.state.report_problem(
                Problem.PEER_UNREACHABLE, "fetch from a peer failed: %s.", error
            )
        except BadRecord as problem:
            self.reported_versions.pop(peer, None)
            self._report_bad_message(peer, problem)

    async def _call_fetch(
        self, peer: HostId, request: wire.FetchRequest
    ) -> wire.FetchReply:
        # The timeout for a small gap is short, as another peer can fill it.
        # That for a snapshot is longer, as many new hosts may wait in turn for
        # the chunks of one peer.
        timeout = self.settings.fetch_timeout_seconds
        if not self.state.ready or request.snapshot_id is not None:
            timeout = self.settings.transfer_timeout_seconds
        deadline = Deadline(self.clock.now() + timeout)
        payload = await self.exchange.call(
            peer, Topic.CONFIG_FETCH, encode(request), deadline
        )
        return decode(wire.FetchReply(), payload)

    async def _apply_reply(
        self, peer: HostId, reply: wire.FetchReply, reader: SnapshotReader
    ) -> wire.FetchRequest | None:
        self._on_notice(peer, reply.notice)
        if reply.chunk is not None:
            return await self._apply_chunk(reply.chunk, reader)
        before = self.state.fold.version
        if reply.batch is not None and self._continues_fold(peer, reply.batch):
            batch = Batch(LogOffset(reply.batch.first), reply.batch.payloads)
            await self.state.fold_in_parts(batch, Source.PEER)
        if self.state.fold.version >= reply.notice.version:
            return None
        if self.state.fold.version == before:
            raise BadRecord("a reply has no usable records though it is newer")
        return wire.FetchRequest(version=self.state.fold.version)

    async def _apply_chunk(
        self, chunk: wire.SnapshotChunk, reader: SnapshotReader
    ) -> wire.FetchRequest:
        check_chunk(chunk)
        reader.add(chunk)
        if reader.version > self.state.fold.version:
            self.state.load(await reader.load(), Source.PEER)
        if chunk.index + 1 == chunk.count:
            return wire.FetchRequest(version=self.state.fold.version)
        return wire.FetchRequest(
            version=self.state.fold.version,
            snapshot_id=chunk.snapshot_id,
            index=chunk.index + 1,
        )

    async def _serve_fetch(self, sender: HostId, payload: bytes) -> bytes:
        await trio.lowlevel.checkpoint()
        try:
            request = decode(wire.FetchRequest(), payload)
        except BadRecord as problem:
            self._report_bad_message(sender, problem)
            return b""
        return encode(await self.server.answer(request))

    def _report_bad_message(self, sender: HostId, problem: BadRecord) -> None:
        self.state.report_problem(
            Problem.BAD_PEER_MESSAGE,
            "peer %s sent a malformed message: %s.",
            sender,
            problem,
        )

    def _report_chain_mismatch(self, sender: HostId) -> None:
        self.state.report_problem(
            Problem.CHAIN_MISMATCH,
            "checksum mismatch: peer %s has folded other records.",
            sender,
        )
