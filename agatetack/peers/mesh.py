"""Exchange messages with the other hosts over links of this host's own.

Up to `peers.max_peers` hosts every host has a link with every other one.
Above that it dials a few, see `choice`, and messages that every host needs
are passed on. What a host hears of another through a third never makes it
believe that it can reach that host itself.
"""

import random
from collections.abc import Iterable, Sequence

import trio

from agatetack.clock import Clock
from agatetack.generated.peers import ttypes
from agatetack.generated.peers.constants import PROTOCOL_VERSION
from agatetack.ids import Deadline, FailureDomain, HostId
from agatetack.logs import PartLog
from agatetack.metrics import Metrics
from agatetack.peers.budget import ByteBudget
from agatetack.peers.calls import (
    MAX_INCOMING_CALLS,
    call_frames,
    reply_frames,
)
from agatetack.peers.connector import Connector, ConnectorOwner
from agatetack.peers.counters import PeerCounters
from agatetack.peers.directory import GatewayDirectory
from agatetack.peers.duplicates import Verdict
from agatetack.peers.exchange import (
    CallHandler,
    Exchange,
    MessageHandler,
    Peer,
    PeerUnreachable,
    Topic,
)
from agatetack.peers.frames import (
    CloseReason,
    LinkClosed,
    decode_member,
    encode_frame,
    encode_member,
)
from agatetack.peers.handshake import new_nonce
from agatetack.peers.link import Link
from agatetack.peers.members import Member, MemberTable
from agatetack.peers.relay import MEMBER_TOPIC, Relay
from agatetack.settings.model import Endpoint, Settings

ANNOUNCEMENTS_PER_SECOND = 1.0
"""Hosts of the whole fleet that announce themselves in one second.

Each host passes each announcement on to all of its links, so this figure sets
what they cost. A start and a leaving are announced at once besides.
"""

MIN_ANNOUNCE_SECONDS = 10.0
"""Shortest time between two announcements of one host."""

LIVE_ANNOUNCEMENTS = 3
"""A host is taken for gone after this many announcements were missed."""

LOG = PartLog("peers")


class PeerExchange(Exchange, ConnectorOwner):
    """The exchange of one host with all others.

    Attributes:
        own: This host's name.
        failure_domain: Where this host is.
        incarnation: This host's start, in ns since 1970.
        port: The port listened on; the real one once `run` has started.
        leaving: Whether this host has announced that it is leaving.
        members: The hosts known.
        connector: The links of this host.
    """

    def __init__(
        self,
        settings: Settings,
        directory: GatewayDirectory,
        metrics: Metrics,
        clock: Clock,
    ):
        """Prepare the exchange; `run` starts it."""
        self.settings = settings.peers
        self.drain_seconds = settings.lifecycle.drain_seconds
        self.metrics = metrics
        self.clock = clock
        self.own = HostId(settings.host.id)
        self.failure_domain = FailureDomain(settings.host.failure_domain)
        self.incarnation = int(clock.wall() * 1e9)
        self.port = settings.peers.listen.port
        self.leaving = False
        self.counters = PeerCounters(metrics)
        self.members = MemberTable(self.own, directory, clock)
        self.relay = Relay(self.own, self.incarnation)
        self.random = random.Random(f"{self.own}/{self.incarnation}")
        self.handlers: dict[int, list[MessageHandler]] = {}
        self.servers: dict[int, CallHandler] = {}
        self.budget = ByteBudget(settings.peers.bytes_per_second)
        self.connector = Connector(self, self.random)
        self.nursery: trio.Nursery | None = None
        directory.on_change(self._list_changed)

    async def run(
        self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Keep links with the other hosts until cancelled.

        Reports the port listened on once peers can connect.
        """
        listen = self.settings.listen
        listeners = await trio.open_tcp_listeners(listen.port, host=listen.host)
        self.port = listeners[0].socket.getsockname()[1]
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            nursery.start_soon(
                trio.serve_listeners, self.connector.accept, listeners
            )
            nursery.start_soon(self.connector.keep_links)
            nursery.start_soon(self._announce)
            task_status.started(self.port)

    def _list_changed(self, *_: object) -> None:
        self.members.read_list()
        self.connector.view_changed()

    def publish(self, topic: Topic, payload: bytes) -> None:
        """Send to every connected peer; dropped when over the byte budget."""
        self._publish(topic.value, payload)

    def subscribe(self, topic: Topic, handler: MessageHandler) -> None:
        """Call `handler` for each published message of `topic`."""
        self.handlers.setdefault(topic.value, []).append(handler)

    def serve(self, topic: Topic, handler: CallHandler) -> None:
        """Answer peers' calls of `topic` with `handler`."""
        self.servers[topic.value] = handler

    async def call(
        self, peer: HostId, topic: Topic, payload: bytes, deadline: Deadline
    ) -> bytes:
        """Call one connected peer and return its reply."""
        link = self.connector.links.get(peer)
        if link is None:
            self.counters.called("no-link")
            raise PeerUnreachable(f"there is no link with {peer}")
        number, pending = link.calls.open()
        outgoing = call_frames(number, topic.value, payload)
        link.send_outgoing(outgoing)
        try:
            with trio.move_on_at(deadline):
                await pending.done.wait()
        finally:
            link.calls.forget(number)
            link.withdraw(outgoing)
        if pending.reply is None:
            in_time = pending.done.is_set()
            self.counters.called("failed" if in_time else "timeout")
            raise PeerUnreachable(f"{peer} gave no reply")
        self.counters.called("answered")
        return pending.reply

    def live_peers(self) -> Sequence[Peer]:
        """Return the peers that are heard over a link with this host."""
        return [
            Peer(link.id, link.incarnation, link.failure_domain, link.leaving)
            for link in self.connector.links.values()
            if link.live
        ]

    def fleet_size(self) -> int:
        """Return the larger of the list and the hosts heard of lately."""
        return self.members.fleet_size()

    def announce_leaving(self) -> None:
        """Tell all hosts that this one is leaving."""
        self.leaving = True
        for link in self.connector.links.values():
            link.send_heartbeat()
        self._publish_self()

    def hello(self) -> ttypes.Hello:
        """Return what this host says of itself, with a fresh nonce."""
        address = self._address()
        return ttypes.Hello(
            version=PROTOCOL_VERSION,
            host=self.own,
            incarnation=self.incarnation,
            failure_domain=self.failure_domain,
            nonce=new_nonce(),
            ip=address.host,
            port=address.port,
            leaving=self.leaving or None,
        )

    def linked(self, link: Link) -> None:
        """Note that a link stands."""
        self._note_member(link.hello)
        self._count_peers()

    def unlinked(self, link: Link) -> None:
        """Note that a link was closed."""
        self.members.link_lost(link.id, link.incarnation)
        self._count_peers()

    def heard(self, link: Link) -> None:
        """Note that a peer is live."""
        until = self._live_until()
        self.members.touch(link.id, link.incarnation, until)
        if link.leaving:
            self.members.mark_leaving(link.id, link.incarnation)

    def take(self, link: Link, frame: ttypes.Frame) -> None:
        """Take a published message, a call or the hosts a peer misses."""
        if frame.publish is not None:
            self._take_publish(link, frame.publish)
        elif frame.call is not None:
            self._take_call(link, frame.call)
        elif frame.missing is not None:
            link.missing = frozenset(map(HostId, frame.missing.hosts))
        else:
            raise LinkClosed(CloseReason.UNEXPECTED_FRAME)

    def _address(self) -> Endpoint:
        if self.settings.advertise is not None:
            return self.settings.advertise
        return Endpoint(ip=self.settings.listen.ip, port=self.port)

    def _publish(self, topic: int, payload: bytes) -> None:
        links = self.connector.links.values()
        floods = self.connector.bounded
        publish = self.relay.new_publish(topic, payload, floods)
        self._send_publish(publish, links)

    def _send_publish(
        self, publish: ttypes.Publish, links: Iterable[Link]
    ) -> None:
        content = encode_frame(ttypes.Frame(publish=publish))
        if len(content) > self.settings.max_frame_bytes:
            self.counters.dropped("publish-too-large")
            return
        # When the budget ends midway, it should not be the same peers that
        # miss the message each time.
        order = list(links)
        self.random.shuffle(order)
        now = self.clock.now()
        for link in order:
            if not self.budget.take_publish(len(content), now):
                self.counters.dropped("publish-over-budget")
            elif not link.publish(content):
                self.counters.dropped("publish-queue-full")

    def _take_publish(self, link: Link, publish: ttypes.Publish) -> None:
        verdict = self.relay.check(publish)
        if verdict is not Verdict.NEW:
            self.counters.dropped(f"publish-{verdict.value}")
            return
        origin = HostId(publish.origin)
        self.members.touch(origin, publish.incarnation, self._live_until())
        targets = self.relay.targets(publish, link, self.connector.links)
        if targets:
            self.counters.passed_on(len(targets))
            self._send_publish(publish, targets)
        if publish.topic == MEMBER_TOPIC:
            self._take_member(publish)
        else:
            self._deliver(publish)

    def _deliver(self, publish: ttypes.Publish) -> None:
        for handler in self.handlers.get(publish.topic, ()):
            try:
                handler(HostId(publish.origin), publish.payload)
            except Exception as error:  # noqa: BLE001
                # A reader's fault must not cost the link that others use.
                self.counters.dropped("handler-failed")
                LOG.error(
                    "A message of %s was not taken: %r.",
                    publish.origin,
                    error,
                )

    def _take_member(self, publish: ttypes.Publish) -> None:
        said = decode_member(publish.payload)
        if said is None or said.host != publish.origin:
            self.counters.dropped("member-malformed")
            return
        self._note_member(said)

    def _note_member(self, said: ttypes.Member | ttypes.Hello) -> None:
        member = Member(
            id=HostId(said.host),
            incarnation=said.incarnation,
            failure_domain=FailureDomain(said.failure_domain),
            ip=said.ip,
            port=said.port,
            leaving=bool(said.leaving),
            live_until=self._live_until(bool(said.leaving)),
        )
        if not self.members.note(member):
            return
        link = self.connector.links.get(member.id)
        if link is not None and link.incarnation < member.incarnation:
            link.close(CloseReason.OLD_INCARNATION)
        self.connector.view_changed()

    def _take_call(self, link: Link, call: ttypes.Call) -> None:
        payload = link.incoming.add(call)
        if payload is None:
            return
        if link.answering >= MAX_INCOMING_CALLS:
            self.counters.dropped("call-too-many")
            link.send_outgoing(reply_frames(call.id, call.topic, None))
            return
        link.answering += 1
        self.nursery.start_soon(self._answer, link, call, payload)

    async def _answer(
        self, link: Link, call: ttypes.Call, payload: bytes
    ) -> None:
        server = self.servers.get(call.topic)
        reply = None
        try:
            if server is not None:
                reply = await server(link.id, payload)
        except Exception as error:  # noqa: BLE001
            # The peer is told that its call failed.
            LOG.error("A call of %s was not answered: %r.", link.id, error)
        finally:
            link.answering -= 1
        if reply is None:
            self.counters.dropped("call-unanswered")
        link.send_outgoing(reply_frames(call.id, call.topic, reply))

    def _count_peers(self) -> None:
        self.metrics.peers.set({}, len(self.connector.links))

    async def _announce(self) -> None:
        """Tell hosts without a link with this one that it is live."""
        await trio.sleep(self.settings.heartbeat_seconds)
        while True:
            self._publish_self()
            seconds = self._announce_seconds()
            await trio.sleep(seconds * self.random.uniform(0.8, 1.0))

    def _publish_self(self) -> None:
        address = self._address()
        member = ttypes.Member(
            host=self.own,
            incarnation=self.incarnation,
            failure_domain=self.failure_domain,
            ip=address.host,
            port=address.port,
            leaving=self.leaving or None,
        )
        self._publish(MEMBER_TOPIC, encode_member(member))

    def _announce_seconds(self) -> float:
        fleet = self.members.fleet_size()
        return max(MIN_ANNOUNCE_SECONDS, fleet / ANNOUNCEMENTS_PER_SECOND)

    def _live_until(self, leaving: bool = False) -> Deadline:
        seconds = LIVE_ANNOUNCEMENTS * self._announce_seconds()
        if leaving:
            seconds = min(seconds, self.drain_seconds)
        return Deadline(self.clock.now() + seconds)
