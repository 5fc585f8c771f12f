"""Discover the other hosts from the topic in which each host registers."""

import ipaddress
import math
import random
from collections.abc import Callable, Mapping, Sequence
from typing import Annotated

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

BATCH_SECONDS = 0.1
"""How long registrations requested by other hosts are batched, so that hundreds
of hosts that start together cost only a few store calls."""

OTHER_REGISTRATION_SECONDS = 2.5
"""How long a host waits to see that another host has registered it: 0.1 s for
batching, 0.5 s until a reader has read the record, and the rest until the
reader has reported it to this host."""


REWRITE_STEP_SECONDS = 0.4
"""Delay between successive readers of the topic, by rank, before they rewrite
registrations that the store lost. It covers one call and the read that shows
the result to the others."""

MAX_REWRITERS = 4
"""Maximum number of hosts that rewrite registrations of all hosts. Any other
host rewrites only its own."""

CONFIRM_SECONDS = 10.0
"""How long a host waits to see its own registration before it registers
again."""


class MemberRecord(msgspec.Struct, frozen=True):
    """The registration of a host.

    Attributes:
        ip: Its IP address for peers.
        port: Its port for peers.
        failure_domain: Its failure domain.
    """

    ip: str
    port: Annotated[int, msgspec.Meta(ge=1, le=65_535)]
    failure_domain: str

    def __post_init__(self) -> None:
        """Check what a type can't express.

        Raises:
            ValueError: A field is not valid.
        """
        # A name would be resolved, which blocks all tasks of this host.
        ipaddress.ip_address(self.ip)
        if not HOST_PATTERN.fullmatch(self.failure_domain):
            raise ValueError(f"{self.failure_domain!r} is no failure domain")


class MemberDirectory(TopicReader):
    """The hosts that registered; some of them may no longer run.

    No host removes another one that disappeared without deregistering, as any
    single view may be wrong. If the fleet is overestimated, each host only
    uses less of the shared budgets than it may.

    Attributes:
        known: Whether the topic has been read.
        known_records: The registration of each host, as it is in the store or
            was before the store lost it.
        waiting: Registrations that other hosts requested from this one.
        lost: Registrations that the store has lost, by host.
        place: This host's rank among those that read the topic for the fleet.
        loss: Set when the store has lost registrations, and then replaced.
    """

    def __init__(self, settings: Settings, topic: KeyedTopic, metrics: Metrics):
        """Register in `topic`; a follower passes its records to this reader."""
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
        """Call `callback` with one argument, None, after each change."""
        self.callbacks.append(callback)

    def apply_all(self, records: Sequence[KeyedRecord]) -> None:
        """Replace all hosts by those that are registered."""
        self.hosts.clear()
        self.known_records.clear()
        self.apply_new(records)

    def apply_new(self, records: Sequence[KeyedRecord]) -> None:
        """Apply hosts that registered or were removed."""
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

    def valid_until(
        self, known: KeyedRecord, found: KeyedRecord | None
    ) -> Deadline | None:
        """Return until when a lost registration stays valid.

        The list of hosts must never be too short. If the store has another
        registration of the host, the known one is usually newer than the
        restored one. If the host has just registered again instead, it repeats
        this when its registration is not accepted.
        """
        if known.value is None:
            return None
        if found is None:
            return Deadline(math.inf)
        if found.value is None or found.value == known.value:
            return None
        return Deadline(trio.current_time() + CONFIRM_SECONDS)

    def note_lost(self, lost: Sequence[KeyedRecord], place: int | None) -> None:
        """Note the registrations that the store lost, to write them again."""
        self.lost = {record.key: record.value for record in lost}
        self.place = place
        if self.lost:
            self.loss.set()

    async def rewrite_lost(self) -> None:
        """Rewrite registrations that the store lost, until cancelled.

        Unlike targets and operators, hosts do not rewrite their records
        regularly.
        """
        while True:
            await self.loss.wait()
            self.loss = trio.Event()
            place = self.place
            for_all = place is not None and place < MAX_REWRITERS
            step = place if for_all else MAX_REWRITERS + random.random()
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
            member = _read_member(key, content)
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
        """Return the registration of this host, with its port for peers."""
        listen = self.settings.peers.listen
        domain = self.settings.host.failure_domain
        record = MemberRecord(listen.host, port, domain)
        return msgspec.json.encode(record)

    async def register(self, port: int, requested: bool = False) -> None:
        """Register this host unless its last registration is still correct.

        Args:
            port: The port for peers.
            requested: Whether another host was asked to register this one,
                so that this host first waits for it.
        """
        await self.read.wait()
        if requested:
            with trio.move_on_after(OTHER_REGISTRATION_SECONDS):
                while not self._is_registered(port):
                    await trio.sleep(BATCH_SECONDS)
        if self._is_registered(port):
            self.registrations.inc({"result": "kept"})
            return
        while not self._is_registered(port):
            await self._append({self.own: self.own_record(port)})
            # The store may lose an acknowledged record before it is read.
            with trio.move_on_after(CONFIRM_SECONDS):
                while not self._is_registered(port):
                    await trio.sleep(BATCH_SECONDS)

    def _is_registered(self, port: int) -> bool:
        own = self.hosts.get(self.own)
        listen = self.settings.peers.listen
        return own is not None and (own.ip, own.port) == (listen.host, port)

    def register_other(self, host: str, content: bytes) -> None:
        """Register another host soon, batched with other requests.

        Anyone who can connect to this host may send a request, so invalid
        registrations are dropped.
        """
        if not _is_member(host, content):
            self.registrations.inc({"result": "malformed"})
            log.note("member-malformed", host=host, cause="asked for by it")
            return
        if self.known_records.get(host) != content:
            self.waiting[host] = content
            self.asked.set()

    async def register_others(self) -> None:
        """Register the hosts that requested it, until cancelled."""
        while True:
            await self.asked.wait()
            await trio.sleep(BATCH_SECONDS)
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
                # Registering twice is harmless.
                self.registrations.inc({"result": "unavailable"})
                log.note("not-registered", cause=str(error))
                await trio.sleep(limits.retry_seconds)
            else:
                self.registrations.inc({"result": "made"})
                log.note("registered", offset=offset, hosts=sorted(records))
                return


def _read_member(host: str, content: bytes) -> MemberRecord:
    """Return the decoded registration of a host.

    Raises:
        ValueError: `host` is no name of a host, or `content` is not JSON, or a
            field is missing or not valid.
    """
    if not HOST_PATTERN.fullmatch(host):
        raise ValueError("the key is no name of a host")
    try:
        return msgspec.json.decode(content, type=MemberRecord)
    except RecursionError as error:
        raise ValueError("it is nested too deeply") from error


def _is_member(host: str, content: bytes) -> bool:
    try:
        _read_member(host, content)
    except ValueError:
        return False
    return True
