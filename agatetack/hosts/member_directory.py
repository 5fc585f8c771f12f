"""Find the other hosts by the topic in which each host registers."""

import dataclasses
from collections.abc import Callable, Sequence

import orjson
import trio

from agatetack.decisions import DecisionLog
from agatetack.hosts.host_list import HostRole, HostState, ListedHost
from agatetack.ids import Deadline, FailureDomain, HostId, ServiceId
from agatetack.keyed.follower import TopicReader
from agatetack.keyed.topic import KeyedRecord, KeyedTopic, TopicUnavailable
from agatetack.metrics import Metrics
from agatetack.settings.model import Settings

log = DecisionLog("members")


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRecord:
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
    """

    def __init__(self, settings: Settings, topic: KeyedTopic, metrics: Metrics):
        """Register in `topic`, and read it through a follower."""
        self.settings = settings
        self.topic = topic
        self.own = settings.host.id
        self.known = False
        self.hosts: dict[str, ListedHost] = {}
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
        self.take_new(records)

    def take_new(self, records: Sequence[KeyedRecord]) -> None:
        """Take hosts that registered or left."""
        for record in records:
            if record.value is None:
                self.hosts.pop(record.key, None)
            else:
                self._take(record.key, record.value)
        self.known = True
        self.read.set()
        for callback in self.callbacks:
            callback(None)

    def _take(self, key: str, content: bytes) -> None:
        try:
            member = MemberRecord(**orjson.loads(content))
        except (TypeError, ValueError) as error:
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

    async def register(self, port: int) -> None:
        """Register this host, unless its last registration is still true.

        Args:
            port: The port for peers.
        """
        listen = self.settings.peers.listen
        domain = self.settings.host.failure_domain
        await self.read.wait()
        own = self.hosts.get(self.own)
        if own is not None and (own.ip, own.port) == (listen.host, port):
            self.registrations.inc({"result": "kept"})
            return
        record = MemberRecord(listen.host, port, domain)
        await self._append(orjson.dumps(dataclasses.asdict(record)))

    async def _append(self, content: bytes) -> None:
        limits = self.settings.platform.store
        while True:
            deadline = Deadline(trio.current_time() + limits.timeout_seconds)
            try:
                offset = await self.topic.append(self.own, content, deadline)
            except TopicUnavailable as error:
                # A registration that is made twice does no harm.
                self.registrations.inc({"result": "unavailable"})
                log.note("not-registered", cause=str(error))
                await trio.sleep(limits.retry_seconds)
            else:
                self.registrations.inc({"result": "made"})
                log.note("registered", offset=offset)
                return
