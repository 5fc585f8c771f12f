"""Stand in for the exchange between hosts, in memory and with faults."""

import math
from collections.abc import Sequence

import trio

from agatetack.ids import Deadline, FailureDomain, HostId
from agatetack.peers.exchange import (
    CallHandler,
    Exchange,
    MessageHandler,
    Peer,
    PeerUnreachable,
    Scope,
    Topic,
)
from agatetack.testing.thin_link import ThinLink, carry_all

DOMAIN = FailureDomain("domain")


class MemoryMesh:
    """The links between the hosts of a test; cut ones lose everything.

    Attributes:
        hosts: The exchanges by host.
        cut: Ordered pairs of hosts between which nothing arrives.
        lost_topics: Topics whose published messages are lost.
        size: The number of hosts that the platform's list shows, or 0.
        reply_bytes_per_second: How fast one host sends replies, or 0 for at
            once; as with the byte budget of peers they wait in turn.
        delay_seconds: How long each message and call takes one way.
        link_bytes_per_second: What the link of a host that joins carries, each
            way.
    """

    def __init__(self, nursery: trio.Nursery):
        """Deliver messages by tasks in `nursery`."""
        self.nursery = nursery
        self.hosts: dict[HostId, MemoryExchange] = {}
        self.cut: set[tuple[HostId, HostId]] = set()
        self.lost_topics: set[Topic] = set()
        self.size = 0
        self.reply_bytes_per_second = 0
        self.delay_seconds = 0.0
        self.link_bytes_per_second = math.inf

    def join(
        self, host: HostId, domain: FailureDomain = DOMAIN
    ) -> "MemoryExchange":
        """Return a new host's exchange; an older one of that name is gone."""
        self.hosts[host] = MemoryExchange(self, host, domain)
        return self.hosts[host]

    def leave(self, host: HostId) -> None:
        """Lose a host."""
        del self.hosts[host]

    def isolate(self, host: HostId) -> None:
        """Cut every link of a host, both ways."""
        for other in self.hosts:
            self.cut |= {(host, other), (other, host)}

    @property
    def is_thin(self) -> bool:
        """Return whether replies take time because of their size."""
        if self.reply_bytes_per_second:
            return True
        return not math.isinf(self.link_bytes_per_second)

    def linked(self, sender: HostId, receiver: HostId) -> bool:
        """Return whether messages arrive from one host at another."""
        return receiver in self.hosts and (sender, receiver) not in self.cut

    async def deliver(
        self, sender: HostId, receiver: HostId, topic: Topic, payload: bytes
    ) -> None:
        """Bring one published message to its receiver, if they are linked."""
        await trio.sleep(self.delay_seconds)
        if receiver in self.hosts:
            await self.hosts[sender].link_out.carry(len(payload))
            await self.hosts[receiver].link_in.carry(len(payload))
        if self.linked(sender, receiver):
            for handler in self.hosts[receiver].handlers.get(topic, ()):
                handler(sender, payload)


class MemoryExchange(Exchange):
    """One host's end of a `MemoryMesh`.

    Attributes:
        domain: The host's failure domain.
        link_in: What brings bytes to the host, from the store too.
        link_out: What takes bytes away from it.
        replies: Lets replies wait in turn, as the byte budget of peers does.
    """

    def __init__(
        self,
        mesh: MemoryMesh,
        host: HostId,
        domain: FailureDomain = DOMAIN,
    ):
        """Join `mesh` as `host`."""
        self.mesh = mesh
        self.host = host
        self.domain = domain
        self.link_in = ThinLink(mesh.link_bytes_per_second)
        self.link_out = ThinLink(mesh.link_bytes_per_second)
        self.replies = ThinLink()
        self.handlers: dict[Topic, list[MessageHandler]] = {}
        self.servers: dict[Topic, CallHandler] = {}
        self.sent_bytes = 0

    def publish(
        self, topic: Topic, payload: bytes, scope: Scope = Scope.ALL
    ) -> None:
        """Send to the linked hosts, unless the topic is scripted lost.

        None is left out of what goes near.
        """
        if topic in self.mesh.lost_topics or scope is Scope.FAR:
            return
        for peer in self.live_peers():
            is_near = peer.failure_domain == self.domain
            if is_near and scope is Scope.ELSEWHERE:
                continue
            if not is_near and scope is Scope.DOMAIN:
                continue
            self.sent_bytes += len(payload)
            self.mesh.nursery.start_soon(
                self.mesh.deliver, self.host, peer.id, topic, payload
            )

    def send(self, peer: HostId, topic: Topic, payload: bytes) -> None:
        """Send to one host, unless the topic is scripted lost."""
        if topic in self.mesh.lost_topics:
            return
        self.sent_bytes += len(payload)
        self.mesh.nursery.start_soon(
            self.mesh.deliver, self.host, peer, topic, payload
        )

    def subscribe(self, topic: Topic, handler: MessageHandler) -> None:
        """Call `handler` for each published message of `topic`."""
        self.handlers.setdefault(topic, []).append(handler)

    def serve(self, topic: Topic, handler: CallHandler) -> None:
        """Answer peers' calls of `topic` with `handler`."""
        self.servers[topic] = handler

    async def call(
        self, peer: HostId, topic: Topic, payload: bytes, deadline: Deadline
    ) -> bytes:
        """Call a linked host; time out at an unlinked one."""
        with trio.move_on_at(deadline):
            await trio.sleep(self.mesh.delay_seconds)
            if not self.mesh.linked(self.host, peer):
                await trio.sleep_forever()
            # The peer may leave before it has replied.
            other = self.mesh.hosts[peer]
            reply = await other.servers[topic](self.host, payload)
            if reply is None:
                raise PeerUnreachable(f"{peer} has no reply")
            arrived = trio.Event()
            if self.mesh.is_thin:
                # A reply that nobody waits for any more is sent nevertheless.
                self.mesh.nursery.start_soon(
                    other.send_reply, reply, self, arrived
                )
                await arrived.wait()
            if not self.mesh.linked(peer, self.host):
                await trio.sleep_forever()
            await trio.sleep(self.mesh.delay_seconds)
            return reply
        raise PeerUnreachable(f"{peer} did not answer in time")

    async def send_reply(
        self, reply: bytes, caller: "MemoryExchange", arrived: trio.Event
    ) -> None:
        """Send a reply to a caller, and set `arrived` at the end."""
        self.sent_bytes += len(reply)
        rate = self.mesh.reply_bytes_per_second
        self.replies.bytes_per_second = rate or math.inf
        links = (self.replies, self.link_out, caller.link_in)
        async for _ in carry_all(len(reply), *links):
            pass
        arrived.set()

    def live_peers(self) -> Sequence[Peer]:
        """Return every other host whose messages arrive here."""
        return [
            Peer(host, 1, other.domain, leaving=False)
            for host, other in self.mesh.hosts.items()
            if host != self.host and self.mesh.linked(host, self.host)
        ]

    def fleet_size(self) -> int:
        """Return the number of hosts."""
        return max(self.mesh.size, len(self.mesh.hosts))
