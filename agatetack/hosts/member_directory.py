"""Find the other hosts by the topic in which each host registers."""

import math
import random
from collections.abc import Callable, Mapping, Sequence

import msgspec
import trio

from agatetack.decisions import DecisionLog
from agatetack.hosts.host_list import HostRole, HostState, ListedHost
from agatetack.ids import Deadline, FailureDomain, HostId, ServiceId
from agatetack.keyed.reader import TopicReader
from agatetack.keyed.topic import KeyedRecord, KeyedTopic, TopicUnavailable
from agatetack.metrics import Metrics
from agatetack.peers.frames import HOST_PATTERN
from agatetack.settings.model import Settings

log = DecisionLog("members")

GATHER_SECONDS = 0.1
"""How long registrations that another host asked for are gathered, so that
hundreds of hosts that start together cost a few calls of the store."""

OTHERS_SECONDS = 2.5
"""How long a host waits until it sees that another one has registered it:
0.1 s to gather, 0.5 s until a reader has read it, the rest until the reader
has told this host."""


REWRITE_STEP_SECONDS = 0.4
"""How long each host that reads the topic for all waits longer than the one
before it until it registers anew what the store has lost: one call and the read
that shows it to the others."""

MOST_REWRITERS = 4
"""Hosts at most that do so for others; any other one does it for itself."""

SEEN_SECONDS = 10.0
"""How long a host waits until it sees its own registration, before it makes it
again."""


class MemberRecord(msgspec.Struct, frozen=True):
    """What a host registers of itself.

    Attributes:
        ip: Where peers reach it.
        port: Its port for peers.
        failure_domain: Where it is.
    """

    ip: str
    port: int
    failure_domain: str


class MemberDirectory(TopicReader):
    """The hosts that registered; some of them may be gone.

    Nobody takes out a host that went without a word, as any view may be
    wrong. A fleet that is thought too large only spends less of what it may.

    Attributes:
        known: Whether the topic has been read.
        known_records: What each host registered, as the store holds it or
            held it before it was lost.
        waiting: Hosts that asked this one to register them.
        lost: Registrations that the store has lost, by host.
        place: This host's place among those that read the topic for all.
        loss: Set, and replaced, when the store has lost some.
    """

    def __init__(self, settings: Settings, topic: KeyedTopic, metrics: Metrics):
        """Register in `topic`, and read it through a follower."""
        self.settings = settings
        self.topic = topic
        self.own = settings.host.id
        self.known = False
        self.hosts: dict[str, ListedHost] = {}
        self.known_records: dict[str, bytes] = {}
        self.waiting: dict[str, bytes] = {}
        self.asked = trio.Event()
        self.lost: dict[str, bytes] = {}
        self.place: int | None = None
        self.loss = trio.Event()
        self.callbacks: list[Callable[..., None]] = []
        self.read = trio.Event()
        self.registrations = metrics.counter(
            "agatetack_member_registrations_total",
            "Registrations of this host in the store, by result.",
        )

    def gateways(self) -> Sequence[ListedHost]:
        """Return the hosts that registered."""
        return tuple(self.hosts.values())

    def on_change(self, callback: Callable[..., None]) -> None:
        """Call `callback`, with what changed, after each change."""
        self.callbacks.append(callback)

    def take_all(self, records: Sequence[KeyedRecord]) -> None:
        """Take every host that registered."""
        self.hosts.clear()
        self.known_records.clear()
        self.take_new(records)

    def take_new(self, records: Sequence[KeyedRecord]) -> None:
        """Take hosts that registered or left."""
        for record in records:
            if record.value is None:
                self.hosts.pop(record.key, None)
                self.known_records.pop(record.key, None)
            else:
                self.known_records[record.key] = record.value
                self._take(record.key, record.value)
            self.lost.pop(record.key, None)
        self.known = True
        self.read.set()
        for callback in self.callbacks:
            callback(None)

    def holds_until(
        self, known: KeyedRecord, found: KeyedRecord | None
    ) -> Deadline | None:
        """Return until when a lost registration holds.

        The list of hosts is never thought too short. Of two registrations of a
        host the earlier known one is the later made, unless the host has just
        made another one, which it does again if it is not believed.
        """
        if known.value is None:
            return None
        if found is None:
            return Deadline(math.inf)
        if found.value is None or found.value == known.value:
            return None
        return Deadline(trio.current_time() + SEEN_SECONDS)

    def take_lost(self, lost: Sequence[KeyedRecord], place: int | None) -> None:
        """Note which registrations the store has lost, to make them anew."""
        self.lost = {record.key: record.value for record in lost}
        self.place = place
        if self.lost:
            self.loss.set()

    async def replace_lost(self) -> None:
        """Make registrations anew that the store has lost, until cancelled.

        Hosts do not write them again as targets and operators do.
        """
        while True:
            await self.loss.wait()
            self.loss = trio.Event()
            place = self.place
            for_all = place is not None and place < MOST_REWRITERS
            step = place if for_all else MOST_REWRITERS + random.random()
            await trio.sleep(step * REWRITE_STEP_SECONDS)
            missing = {
                host: content
                for host, content in self.lost.items()
                if for_all or host == self.own
            }
            if missing:
                log.note("registering-lost", hosts=len(missing), place=place)
                await self._append(missing)

    def _take(self, key: str, content: bytes) -> None:
        try:
            member = _read_member(content)
        except ValueError as error:
            log.note("member-malformed", host=key, cause=str(error))
            return
        self.hosts[key] = ListedHost(
            id=HostId(key),
            role=HostRole.GATEWAY,
            state=HostState.LIVE,
            ip=member.ip,
            port=member.port,
            failure_domain=FailureDomain(member.failure_domain),
            service=ServiceId(""),
        )

    def own_record(self, port: int) -> bytes:
        """Return what this host registers, with its port for peers."""
        listen = self.settings.peers.listen
        domain = self.settings.host.failure_domain
        record = MemberRecord(listen.host, port, domain)
        return msgspec.json.encode(record)

    async def register(self, port: int, others_do: bool = False) -> None:
        """Register this host, unless its last registration is still true.

        Args:
            port: The port for peers.
            others_do: Whether another host was asked to do it; it is given
                some time.
        """
        await self.read.wait()
        if others_do:
            with trio.move_on_after(OTHERS_SECONDS):
                while not self._is_registered(port):
                    await trio.sleep(GATHER_SECONDS)
        if self._is_registered(port):
            self.registrations.inc({"result": "kept"})
            return
        while not self._is_registered(port):
            await self._append({self.own: self.own_record(port)})
            # What was acknowledged may be lost before anybody has read it.
            with trio.move_on_after(SEEN_SECONDS):
                while not self._is_registered(port):
                    await trio.sleep(GATHER_SECONDS)

    def _is_registered(self, port: int) -> bool:
        own = self.hosts.get(self.own)
        listen = self.settings.peers.listen
        return own is not None and (own.ip, own.port) == (listen.host, port)

    def register_other(self, host: str, content: bytes) -> None:
        """Register another host soon, together with all that ask meanwhile.

        Whoever reaches this host may ask; what is no registration is left out.
        """
        if not HOST_PATTERN.fullmatch(host) or not _is_member(content):
            self.registrations.inc({"result": "malformed"})
            log.note("member-malformed", host=host, cause="asked for by it")
            return
        if self.known_records.get(host) != content:
            self.waiting[host] = content
            self.asked.set()

    async def register_others(self) -> None:
        """Register the hosts that asked for it, until cancelled."""
        while True:
            await self.asked.wait()
            await trio.sleep(GATHER_SECONDS)
            self.asked = trio.Event()
            waiting, self.waiting = self.waiting, {}
            if waiting:
                await self._append(waiting)

    async def _append(self, records: Mapping[str, bytes]) -> None:
        limits = self.settings.platform.store
        while True:
            deadline = Deadline(trio.current_time() + limits.timeout_seconds)
            try:
                offset = await self.topic.append_all(records, deadline)
            except TopicUnavailable as error:
                # A registration that is made twice does no harm.
                self.registrations.inc({"result": "unavailable"})
                log.note("not-registered", cause=str(error))
                await trio.sleep(limits.retry_seconds)
            else:
                self.registrations.inc({"result": "made"})
                log.note("registered", offset=offset, hosts=sorted(records))
                return


def _read_member(content: bytes) -> MemberRecord:
    """Return what a host registered.

    Raises:
        ValueError: It is no JSON, or a field is missing or of another type.
    """
    return msgspec.json.decode(content, type=MemberRecord)


def _is_member(content: bytes) -> bool:
    try:
        _read_member(content)
    except ValueError:
        return False
    return True
