"""Open, accept and replace this host's links with its peers."""

import abc
import random
from collections.abc import Awaitable, Callable, Mapping, Sequence

import trio

from agatetack.generated.peers import ttypes
from agatetack.hosts.host_list import ListedHost
from agatetack.ids import FailureDomain, HostId
from agatetack.logs import PartLog
from agatetack.peers.backoff import Backoff
from agatetack.peers.choice import choose_peers
from agatetack.peers.frames import (
    CloseReason,
    FrameReader,
    LinkClosed,
)
from agatetack.peers.groups import GroupId, Groups, PlacedTarget
from agatetack.peers.handshake import Side, perform_handshake
from agatetack.peers.link import Link, LinkOwner
from agatetack.peers.members import Member, MemberTable
from agatetack.peers.transport import Transport

MAX_LINKS_RATIO = 4
"""Maximum number of links, as a multiple of `peers.max_peers`."""

MAX_HANDSHAKES = 64
"""Maximum number of connections that are not authenticated yet."""

MIN_CHOICE_PAUSE_SECONDS = 0.05
"""Minimum time between two choices of peers, as changes come in bursts."""

CHOICE_PAUSE_HOSTS = 50
"""Fleet size above which `MIN_CHOICE_PAUSE_SECONDS` grows in proportion.

A choice among 312 hosts takes 2 ms of CPU time, and all of them may appear
within a few seconds.
"""

UNREACHABLE_REASONS = frozenset(
    {CloseReason.SILENT, CloseReason.UNACKNOWLEDGED}
)
"""Reasons that show that the host at the other end is unreachable."""

LOG = PartLog("peers")

OpenStream = Callable[[str, int], Awaitable[trio.abc.Stream]]
"""Opens a connection to an IP address and port; raises OSError."""

Admit = Callable[[ttypes.Hello], None]
"""Checks the other host's hello; raises LinkClosed to reject it."""


class ConnectorOwner(LinkOwner):
    """The user of the links that a connector opens.

    Attributes:
        own: This host's id.
        failure_domain: This host's failure domain.
        members: The known hosts.
        transport: Opens and accepts connections.
    """

    own: HostId
    transport: Transport
    failure_domain: FailureDomain
    members: MemberTable

    @abc.abstractmethod
    def hello(self) -> ttypes.Hello:
        """Return this host's hello, with a fresh nonce."""

    @abc.abstractmethod
    def link_opened(self, link: Link) -> None:
        """Handle a new link."""

    @abc.abstractmethod
    def link_closed(self, link: Link) -> None:
        """Handle a closed link."""


class Connector:
    """The links of one host.

    Attributes:
        links: The link with each connected peer.
        chosen: The chosen hosts, to which this host keeps links.
        missing: Hosts of `chosen` without a link, as last sent to the peers.
        is_grouped: Whether the fleet is too large for a full mesh of links.
        groups: The groups of such a fleet, else None.
        group: This host's group.
        leaders: The current leaders of this group, the first leader first.
        targets: The targets that are divided among the groups.
        unreachable: Hosts that were unreachable when last dialled.
        open_stream: Opens a connection to an IP address and port.
        dial_scopes: Cancel the task that keeps the link with a host, by host.
        handshakes: Connections with an unfinished handshake.
        choice_due: Set when peers have to be chosen again.
    """

    def __init__(self, owner: ConnectorOwner, source: random.Random):
        """Open links for `owner`."""
        self.owner = owner
        self.own = owner.own
        self.members = owner.members
        self.settings = owner.settings
        self.counters = owner.counters
        self.clock = owner.clock
        self.transport = owner.transport
        self.random = source
        self.links: dict[HostId, Link] = {}
        self.chosen: frozenset[HostId] = frozenset()
        self.missing: frozenset[HostId] = frozenset()
        self.is_grouped = False
        self.groups: Groups | None = None
        self.group: GroupId | None = None
        self.leaders: Sequence[HostId] = ()
        self.unreachable: set[HostId] = set()
        self.open_stream: OpenStream = self.transport.open
        self.dial_scopes: dict[HostId, trio.CancelScope] = {}
        self.handshakes = 0
        self.targets: Sequence[PlacedTarget] = ()
        self.choice_due = trio.Event()

    def set_targets(self, targets: Sequence[PlacedTarget]) -> None:
        """Replace the targets and divide them among the groups."""
        self.targets = targets
        if self.groups is not None:
            self.groups.assign_targets(targets)

    def schedule_choice(self) -> None:
        """Schedule a new choice of peers."""
        self.choice_due.set()

    async def keep_links(self) -> None:
        """Choose peers and keep links with them until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self.choice_due = trio.Event()
                self.members.refresh()
                self.counters.flush()
                self._choose_peers(nursery)
                self._send_missing()
                with trio.move_on_after(self.settings.timeout_seconds):
                    await self.choice_due.wait()
                await trio.sleep(self._choice_pause())

    def _choice_pause(self) -> float:
        hosts = 1 + len(self.members.listed)
        return MIN_CHOICE_PAUSE_SECONDS * max(1.0, hosts / CHOICE_PAUSE_HOSTS)

    def _choose_peers(self, nursery: trio.Nursery) -> None:
        domains = self.members.domains()
        self.is_grouped = len(domains) > self.settings.max_peers
        domains[self.own] = self.owner.failure_domain
        dialable = {
            host: domain
            for host, domain in domains.items()
            if host == self.own or self._is_dialable(host)
        }
        self._update_groups(dialable)
        self.chosen = choose_peers(
            self.own,
            dialable,
            self.settings.max_peers,
            self.unreachable,
            self.groups,
        )
        for host in sorted(self.dial_scopes.keys() - self.chosen):
            self.dial_scopes.pop(host).cancel()
        for host in sorted(self.chosen - self.dial_scopes.keys()):
            scope = trio.CancelScope()
            self.dial_scopes[host] = scope
            nursery.start_soon(self._dial, host, scope)

    def _update_groups(self, domains: Mapping[HostId, FailureDomain]) -> None:
        """Compute the groups if the fleet is too large for a full mesh."""
        if not self.is_grouped:
            self.groups = None
            return
        if self.groups is None or self.groups.domains != domains:
            self.groups = Groups(domains, self.settings.max_peers)
            self.groups.assign_targets(self.targets)
        self.group = self.groups.group_of[self.own]
        self.leaders = self.groups.leaders(self.group, self.unreachable)

    def _is_dialable(self, host: HostId) -> bool:
        # A host with a link needs no address in the list.
        return host in self.links or bool(self._addresses(host))

    def _send_missing(self) -> None:
        missing = frozenset()
        if not self.is_grouped:
            missing = self.chosen - self.links.keys()
        if missing == self.missing:
            return
        self.missing = missing
        for link in self.links.values():
            link.send_control(self._missing_frame())

    def _missing_frame(self) -> ttypes.Frame:
        hosts = sorted(self.missing)
        return ttypes.Frame(missing=ttypes.Missing(hosts=hosts))

    async def accept(self, stream: trio.SocketStream) -> None:
        """Serve a connection that another host opened."""
        try:
            remote_ip = stream.socket.getpeername()[0]
        except OSError:
            # The connection was closed before it was handled.
            self.counters.closed_for(CloseReason.CONNECTION_LOST)
            await trio.aclose_forcefully(stream)
            return
        await self.serve_accepted(self.transport.accept(stream), remote_ip)

    async def serve_accepted(
        self, stream: trio.abc.Stream, remote_ip: str
    ) -> None:
        """Serve a connection that came from `remote_ip`."""
        if self.handshakes >= MAX_HANDSHAKES:
            self.counters.closed_for(CloseReason.TOO_MANY)
            await trio.aclose_forcefully(stream)
            return

        def admit(hello: ttypes.Hello) -> None:
            self._admit_accepted(hello, remote_ip)

        await self._serve(stream, Side.ACCEPTING, admit)

    async def _dial(self, peer: HostId, scope: trio.CancelScope) -> None:
        """Keep a link with `peer` until `scope` is cancelled."""
        backoff = Backoff(self.random)

        def admit(hello: ttypes.Hello) -> None:
            if hello.host != peer:
                raise LinkClosed(CloseReason.WRONG_HOST)
            self._check_incarnation(hello)

        with scope:
            if self.own > peer:
                # Both ends may dial. The host with the lower id dials first,
                # so that usually only one connection is opened.
                await trio.sleep(self.settings.heartbeat_seconds)
            while True:
                if peer in self.links:
                    await self.links[peer].ended.wait()
                    backoff.reset()
                else:
                    await self._dial_once(peer, admit)
                await trio.sleep_until(
                    backoff.next_attempt_at(self.clock.now())
                )

    async def _dial_once(self, peer: HostId, admit: Admit) -> None:
        addresses = self._addresses(peer)
        if not addresses:
            # The host was just removed from the list; the next choice of
            # peers excludes it.
            return
        address = self.random.choice(addresses)
        stream = None
        with trio.move_on_after(self.settings.timeout_seconds):
            try:
                stream = await self.open_stream(address.ip, address.port)
            except OSError as error:
                LOG.debug("The connection to %s failed: %s.", peer, error)
        if stream is None:
            self.counters.closed_for(CloseReason.CONNECT_FAILED)
            self._mark_unreachable(peer)
            return
        await self._serve(stream, Side.DIALLING, admit)

    def _mark_unreachable(self, peer: HostId) -> None:
        """Mark `peer` as unreachable, which excludes it from the leaders."""
        if peer not in self.unreachable:
            self.unreachable.add(peer)
            self.schedule_choice()

    def _addresses(self, peer: HostId) -> list[ListedHost | Member]:
        """Return the known addresses of `peer`: as listed and as announced.

        Either may be outdated, because a host may be replaced by another one
        with the same id. An announced address is used only if hosts
        authenticate each other.
        """
        found: list[ListedHost | Member] = []
        if peer in self.members.listed:
            found.append(self.members.listed[peer])
        if self._authenticates_hosts():
            member = self.members.known.get(peer)
            if member is not None:
                found.append(member)
        return found

    def _admit_accepted(self, hello: ttypes.Hello, remote_ip: str) -> None:
        if hello.host == self.own:
            raise LinkClosed(CloseReason.WRONG_HOST)
        if not self._authenticates_hosts():
            listed = self.members.listed.values()
            if remote_ip not in {host.ip for host in listed}:
                raise LinkClosed(CloseReason.NOT_LISTED)
        self._check_incarnation(hello)
        max_links = MAX_LINKS_RATIO * self.settings.max_peers
        if len(self.links) >= max_links and hello.host not in self.links:
            raise LinkClosed(CloseReason.TOO_MANY)

    def _authenticates_hosts(self) -> bool:
        return self.settings.shared_key is not None or (
            self.settings.tls is not None
        )

    def _check_incarnation(self, hello: ttypes.Hello) -> None:
        if hello.incarnation < self.members.incarnation(HostId(hello.host)):
            raise LinkClosed(CloseReason.OLD_INCARNATION)

    async def _serve(
        self, stream: trio.abc.Stream, side: Side, admit: Admit
    ) -> None:
        try:
            await self._serve_link(stream, side, admit)
        except Exception as error:
            # One connection's failure must not end the others, which share
            # the nursery; a dialled one is opened again.
            self.counters.closed_for(CloseReason.FAILED)
            LOG.error("A connection with a peer failed: %r.", error)
            await trio.aclose_forcefully(stream)

    async def _serve_link(
        self, stream: trio.abc.Stream, side: Side, admit: Admit
    ) -> None:
        reader = FrameReader(stream, self.counters.received)
        try:
            hello = await self._perform_handshake(stream, reader, side, admit)
            link = Link(stream, reader, hello, side, self.owner)
            self._register(link)
        except LinkClosed as closed:
            self.counters.closed_for(closed.reason)
            LOG.debug("A connection was refused: %s.", closed.reason.value)
            await trio.aclose_forcefully(stream)
            return
        try:
            reason = await link.run()
            self.counters.closed_for(reason)
            LOG.info("The link with %s ended: %s.", link.id, reason.value)
        finally:
            self._unregister(link)

    async def _perform_handshake(
        self,
        stream: trio.abc.Stream,
        reader: FrameReader,
        side: Side,
        admit: Admit,
    ) -> ttypes.Hello:
        async def send(content: bytes) -> None:
            if not self.owner.budget.take_control(
                len(content), self.clock.now()
            ):
                raise LinkClosed(CloseReason.OVER_BUDGET)
            await stream.send_all(content)
            self.counters.sent(len(content))

        self.handshakes += 1
        try:
            with trio.move_on_after(self.settings.timeout_seconds):
                return await perform_handshake(
                    side,
                    self.settings.shared_key,
                    self.owner.hello(),
                    reader,
                    send,
                    admit,
                )
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise LinkClosed(CloseReason.CONNECTION_LOST) from error
        finally:
            self.handshakes -= 1
        raise LinkClosed(CloseReason.SILENT)

    def _register(self, link: Link) -> None:
        # Another connection with the same peer may have been registered
        # during the handshake.
        self._check_incarnation(link.hello)
        current = self.links.get(link.id)
        if current is not None and self._keeps_current(current, link):
            raise LinkClosed(CloseReason.DUPLICATE)
        if current is not None:
            current.close(CloseReason.REPLACED)
        self.links[link.id] = link
        self.unreachable.discard(link.id)
        self.owner.link_opened(link)
        if self.missing:
            link.send_control(self._missing_frame())
        self.schedule_choice()

    def _keeps_current(self, current: Link, new: Link) -> bool:
        """Return whether `current` is kept; both ends decide the same."""
        return (
            current.live
            and current.incarnation == new.incarnation
            and self._dialled_by_lower(current)
            and not self._dialled_by_lower(new)
        )

    def _dialled_by_lower(self, link: Link) -> bool:
        return (link.side is Side.DIALLING) == (self.own < link.id)

    def _unregister(self, link: Link) -> None:
        if self.links.get(link.id) is link:
            del self.links[link.id]
            if link.reason in UNREACHABLE_REASONS:
                # Other reasons may be intended or temporary; the next dial
                # shows whether the host is reachable.
                self.unreachable.add(link.id)
            self.owner.link_closed(link)
            self.schedule_choice()
        link.ended.set()
