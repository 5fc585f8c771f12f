"""Exchange messages with the other hosts over links.

Up to `peers.max_peers` other hosts, every host has a link with every other one.
Messages about load are then sent only once to each other failure domain, to one
host that forwards them there. In a larger fleet, hosts are split into groups,
see `groups`, and the leaders of the groups forward what every host needs. A
forwarded message shows that its origin is live, but not that this host can
reach it.
"""

import random
from collections.abc import Callable, Iterable, Sequence

import trio

from agatetack.clock import Clock
from agatetack.generated.peers import ttypes
from agatetack.ids import Deadline, FailureDomain, HostId, TargetId
from agatetack.late import LateModule
from agatetack.logs import PartLog
from agatetack.metrics import Metrics
from agatetack.peers.budget import peers_budget
from agatetack.peers.call_service import CallService
from agatetack.peers.connector import Connector, ConnectorOwner
from agatetack.peers.counters import PeerCounters
from agatetack.peers.exchange import (
    CallHandler,
    Exchange,
    GatewayDirectory,
    MessageHandler,
    Peer,
    Scope,
    Topic,
)
from agatetack.peers.frames import (
    CloseReason,
    LinkClosed,
    decode_member,
    encode_frame,
    encode_member,
)
from agatetack.peers.groups import PlacedTarget
from agatetack.peers.identity import Announcements, Identity
from agatetack.peers.link import Link
from agatetack.peers.members import MemberTable
from agatetack.peers.reach import LinkSelector
from agatetack.peers.relay import MEMBER_TOPIC, Relay, Verdict, without_origin
from agatetack.peers.transport import make_transport
from agatetack.settings.model import Settings
from agatetack.streams import serve_streams, trio_listener

LOG = PartLog("peers")

# Loaded when the host stops.
reply_flush = LateModule("agatetack.peers.reply_flush")

TakeBytes = Callable[[int, Deadline], bool]
"""Takes bytes from the budget; returns whether they were available."""


class PeerExchange(Exchange, ConnectorOwner):
    """The exchange of one host with all others.

    Attributes:
        identity: The identity of this host.
        members: The known hosts.
        connector: The links of this host.
        link_selector: Selects the links for a message.
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
        self.metrics = metrics
        self.clock = clock
        self.identity = Identity(settings, clock)
        self.own = self.identity.own
        self.failure_domain = self.identity.failure_domain
        self.incarnation = self.identity.incarnation
        self.counters = PeerCounters(metrics)
        self.budget = peers_budget(settings.peers.bytes_per_second)
        self.random = random.Random(f"{self.own}/{self.incarnation}")
        self.members = MemberTable(self.own, directory, clock)
        self.announcements = Announcements(
            settings, self.members, clock, self.random
        )
        self.relay = Relay(self.own, self.incarnation)
        self.handlers: dict[int, list[MessageHandler]] = {}
        self.calls = CallService(settings.peers, self.counters)
        self.transport = make_transport(settings.peers, metrics)
        self.connector = Connector(self, self.random)
        self.link_selector = LinkSelector(
            self.own, self.failure_domain, self.connector
        )
        self.max_publish_bytes = min(
            settings.peers.max_frame_bytes, self.budget.max_publish_bytes()
        )
        directory.on_change(self._list_changed)

    @property
    def port(self) -> int:
        """Return the port of the settings, or the bound one during `run`."""
        return self.identity.port

    @property
    def leaving(self) -> bool:
        """Return whether this host has announced that it is leaving."""
        return self.identity.leaving

    async def run(
        self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Keep links with the other hosts until cancelled.

        Reports the bound port once peers can connect.
        """
        listen = self.settings.listen
        listener = trio_listener(listen.host, listen.port)
        self.identity.port = listener.socket.getsockname()[1]
        async with trio.open_nursery() as nursery:
            self.calls.nursery = nursery
            nursery.start_soon(
                serve_streams, listener, self.connector.accept, LOG
            )
            nursery.start_soon(self.connector.keep_links)
            nursery.start_soon(self._announce)
            nursery.start_soon(self.transport.run)
            task_status.started(self.port)

    def publish(
        self, topic: Topic, payload: bytes, scope: Scope = Scope.ALL
    ) -> None:
        """Send to connected peers; drop messages over the byte budget."""
        links = self.link_selector.links_for(scope, topic.value)
        if links:
            self._publish(topic.value, payload, links)

    def send(self, peer: HostId, topic: Topic, payload: bytes) -> None:
        """Send to one connected peer; drop the message over the budget."""
        link = self.connector.links.get(peer)
        if link is not None:
            self._publish(topic.value, payload, [link])

    def subscribe(self, topic: Topic, handler: MessageHandler) -> None:
        """Call `handler` for each published message of `topic`."""
        self.handlers.setdefault(topic.value, []).append(handler)

    def serve(self, topic: Topic, handler: CallHandler) -> None:
        """Answer peers' calls of `topic` with `handler`."""
        self.calls.handlers[topic.value] = handler

    async def call(
        self, peer: HostId, topic: Topic, payload: bytes, deadline: Deadline
    ) -> bytes:
        """Call one connected peer and return its reply."""
        link = self.connector.links.get(peer)
        if link is None:
            raise self.calls.no_link_error(peer)
        return await self.calls.call(link, topic, payload, deadline)

    def live_peers(self) -> Sequence[Peer]:
        """Return the hosts with a live link to this one."""
        now = self.clock.now()
        return [
            link.peer
            for link in self.connector.links.values()
            if link.is_live(now)
        ]

    def near_peers(self) -> Sequence[Peer]:
        """Return the live peers that `Scope.NEAR` reaches."""
        peers = self.live_peers()
        if not self.is_grouped:
            return peers
        return self.link_selector.in_group(peers)

    def known_hosts(self) -> Sequence[Peer]:
        """Return all other hosts that are considered live.

        A host that this one chose as peer but has no live link with is not.
        """
        peers = {peer.id: peer for peer in self.live_peers()}
        if not self.is_grouped:
            return list(peers.values())
        for member in self.members.live():
            if member.id in peers or member.id in self.connector.chosen:
                continue
            peers[member.id] = Peer(
                member.id,
                member.incarnation,
                member.failure_domain,
                member.leaving,
            )
        return list(peers.values())

    @property
    def is_grouped(self) -> bool:
        """Return whether the fleet is too large for a full mesh of links."""
        return self.connector.is_grouped

    @property
    def is_leader(self) -> bool:
        """Return whether this host forwards messages to its group."""
        return self.link_selector.is_leader

    @property
    def is_first_leader(self) -> bool:
        """Return whether this host reports its group's targets to others."""
        return self.link_selector.is_first_leader

    def first_leaders(self) -> Sequence[HostId]:
        """Return the first leader of each group, this host included."""
        return self.link_selector.first_leaders()

    def group_hosts(self) -> Sequence[HostId]:
        """Return the hosts of this host's group, itself included."""
        return self.link_selector.group_hosts()

    def shares_target(self, target: TargetId, domain: FailureDomain) -> bool:
        """Return whether `target` is assigned to this host's group."""
        return self.link_selector.shares_target(target, domain)

    def set_targets(self, targets: Sequence[PlacedTarget]) -> None:
        """Set all targets, which are divided among the groups."""
        self.connector.set_targets(targets)

    def fleet_size(self) -> int:
        """Return the larger of the counts of listed and live hosts."""
        return self.members.fleet_size()

    def announce_leaving(self) -> None:
        """Announce to all hosts that this one is leaving."""
        self.identity.leaving = True
        reply_flush.load()
        for link in self.connector.links.values():
            link.send_heartbeat()
        self._publish_self()

    async def flush_replies(self, deadline: Deadline) -> None:
        """Wait until peers have the replies to their calls."""
        flush = reply_flush.ReplyFlush(self.connector.links, self.clock)
        lacking = await flush.run(deadline)
        if lacking:
            LOG.warning(
                "This host ends without knowing whether replies reached %s.",
                ", ".join(lacking),
            )

    def hello(self) -> ttypes.Hello:
        """Return this host's hello, with a fresh nonce."""
        return self.identity.hello()

    def link_opened(self, link: Link) -> None:
        """Handle a new link."""
        self._update_member(link.hello)
        self._count_peers()

    def link_closed(self, link: Link) -> None:
        """Handle a closed link."""
        self.members.link_lost(link.id, link.incarnation)
        self._count_peers()

    def handle_heartbeat(self, link: Link) -> None:
        """Handle a heartbeat: the peer is live."""
        until = self.announcements.live_until()
        self.members.mark_live(link.id, link.incarnation, until)
        if link.leaving:
            self.members.mark_leaving(link.id, link.incarnation)

    def handle_frame(self, link: Link, frame: ttypes.Frame) -> None:
        """Handle a published message, a call or a peer's missing links."""
        if frame.publish is not None:
            self._handle_publish(link, frame.publish)
        elif frame.call is not None:
            self.calls.handle_call(link, frame.call)
        elif frame.missing is not None:
            link.missing = frozenset(map(HostId, frame.missing.hosts))
        else:
            raise LinkClosed(CloseReason.UNEXPECTED_FRAME)

    def _publish(
        self, topic: int, payload: bytes, links: Iterable[Link] | None = None
    ) -> None:
        if links is None:
            links = self.connector.links.values()
        floods = self.connector.is_grouped
        publish = self.relay.new_publish(topic, payload, floods)
        self._send_publish(publish, links)

    def _send_publish(
        self,
        publish: ttypes.Publish,
        links: Iterable[Link],
        take: TakeBytes | None = None,
    ) -> None:
        take = take or self.budget.take_publish
        # If the budget doesn't suffice for all links, a random order keeps the
        # same peers from missing the message each time.
        shuffled = list(links)
        self.random.shuffle(shuffled)
        now = self.clock.now()
        contents: dict[bool, bytes] = {}
        for link in shuffled:
            omits_origin = publish.origin == self.own and link.fills_in_origin
            if omits_origin not in contents:
                sent = without_origin(publish) if omits_origin else publish
                contents[omits_origin] = encode_frame(
                    ttypes.Frame(publish=sent)
                )
            content = contents[omits_origin]
            if len(content) > self.max_publish_bytes:
                self.counters.dropped("publish-too-large")
                return
            if not take(len(content), now):
                self.counters.dropped("publish-over-budget")
            elif not link.publish(content):
                self.counters.dropped("publish-queue-full")

    def _handle_publish(self, link: Link, publish: ttypes.Publish) -> None:
        if publish.origin is None:
            publish.origin = link.id
            publish.incarnation = link.incarnation
        verdict = self.relay.check(publish)
        if verdict is not Verdict.NEW:
            self.counters.dropped(f"publish-{verdict.value}")
            return
        origin = HostId(publish.origin)
        until = self.announcements.live_until()
        self.members.mark_live(origin, publish.incarnation, until)
        if publish.topic == MEMBER_TOPIC:
            self._handle_member(link, publish)
            return
        self._forward(link, publish)
        self._deliver(publish)

    def _forward(
        self, link: Link, publish: ttypes.Publish, take: TakeBytes | None = None
    ) -> None:
        if self.link_selector.forwards_to_near(link, publish):
            links = self.link_selector.near_links()
        elif publish.flood and not self.is_leader:
            # The leaders of the group forward it.
            links = []
        else:
            links = self.relay.links_to_forward(
                publish, link, self.connector.links
            )
        if links:
            self.counters.forwarded(len(links))
            self._send_publish(publish, links, take)

    def _deliver(self, publish: ttypes.Publish) -> None:
        for handler in self.handlers.get(publish.topic, ()):
            try:
                handler(HostId(publish.origin), publish.payload)
            except Exception as error:  # noqa: BLE001
                # An error in a handler must not close the link, which other
                # handlers use, too.
                self.counters.dropped("handler-failed")
                LOG.error(
                    "A handler of a message from %s failed: %r.",
                    publish.origin,
                    error,
                )

    def _handle_member(self, link: Link, publish: ttypes.Publish) -> None:
        message = decode_member(publish.payload)
        if message is None or message.host != publish.origin:
            self.counters.dropped("member-malformed")
            return
        self._update_member(message)
        # Announcements that a host is live may be dropped when over budget; a
        # leaving host has no next announcement.
        leaving = bool(message.leaving)
        take = None if leaving else self.budget.take_announcement
        self._forward(link, publish, take)

    def _update_member(self, message: ttypes.Member | ttypes.Hello) -> None:
        member = self.announcements.to_member(message)
        if not self.members.update(member):
            return
        link = self.connector.links.get(member.id)
        if link is not None and link.incarnation < member.incarnation:
            link.close(CloseReason.OLD_INCARNATION)
        self.connector.schedule_choice()

    def _count_peers(self) -> None:
        self.metrics.peers.set({}, len(self.connector.links))

    async def _announce(self) -> None:
        """Regularly announce this host as live to hosts without a link."""
        await trio.sleep(self.settings.heartbeat_seconds)
        while True:
            self._publish_self()
            await trio.sleep_until(self.announcements.next_at())

    def _publish_self(self) -> None:
        self._publish(MEMBER_TOPIC, encode_member(self.identity.member()))

    def _list_changed(self, *_: object) -> None:
        self.members.read_list()
        self.connector.schedule_choice()
