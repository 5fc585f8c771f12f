"""Pass requests to other hosts when this one reaches no target."""

import itertools
from collections import Counter
from collections.abc import Callable, Set

import trio
from returns.result import Failure, Result, Success

from agatetack.config.route import Route
from agatetack.decisions import DecisionLog
from agatetack.forwarding.messages import decode_reply, encode_request
from agatetack.forwarding.runner import ForwardingNeed, may_try_another
from agatetack.generated.forwarding.ttypes import ForwardCancel
from agatetack.ids import Deadline, HostId, ServiceId
from agatetack.logs import PartLog
from agatetack.measure.path_sharing import PathSharing
from agatetack.messages import Answer, CallerRequest
from agatetack.metrics import Metrics
from agatetack.outcomes import Refusal, RefusalReason, refuse
from agatetack.peers.exchange import Exchange, PeerUnreachable, Topic
from agatetack.targets.registry import TargetRegistry
from agatetack.targets.state import TargetState
from agatetack.thrift_codec import MalformedMessage, encode

MAX_HOSTS_TRIED = 2
"""Maximum number of other hosts that one request is passed to."""

MAX_FORWARDED_PER_HOST = 32
"""Maximum number of requests of this host in progress at one other host."""

REPLY_GRACE_SECONDS = 0.05
"""Time after a request's deadline in which the other host's refusal arrives."""

CANCEL_TIMEOUT_SECONDS = 1.0
"""Timeout of a call that cancels a request at another host."""

MAX_WAITING_CANCELS = 256
"""Maximum number of cancellations waiting to be sent."""

decisions = DecisionLog("forwarding")
log = PartLog("forwarding")


class Forwarder(ForwardingNeed):
    """Passes requests to hosts that reach targets of their service.

    Attributes:
        in_progress: Requests of this host at each other host.
        last_used_at: When a request was last passed to each host.
    """

    def __init__(
        self,
        registry: TargetRegistry,
        exchange: Exchange,
        paths: PathSharing,
        has_free_slot: Callable[[TargetState, Deadline], bool],
        metrics: Metrics,
    ):
        """Choose hosts by what they say of their paths.

        Args:
            registry: The targets.
            exchange: The other hosts.
            paths: Which targets each host can't reach.
            has_free_slot: Returns whether a request would not wait at a target.
            metrics: Where forwarded requests are counted.
        """
        super().__init__(registry, has_free_slot)
        self.exchange = exchange
        self.paths = paths
        self.numbers = itertools.count()
        self.in_progress: Counter[HostId] = Counter()
        self.last_used_at: dict[HostId, Deadline] = {}
        self.cancels_in, self.cancels_out = trio.open_memory_channel[
            tuple[HostId, int]
        ](MAX_WAITING_CANCELS)
        self.counter = metrics.counter(
            "agatetack_forwarded_total",
            "Requests passed to another host, by result.",
        )

    async def run(self) -> None:
        """Send cancellations until cancelled."""
        async with trio.open_nursery() as nursery:
            async for host, number in self.cancels_out:
                nursery.start_soon(self._send_cancel, host, number)

    def is_short(self, service: ServiceId) -> bool:
        """Return whether another host may have room for `service` sooner.

        That is so if lost paths leave only targets without a free slot, and
        another host reaches more of them.
        """
        if not self.may_be_short(service):
            return False
        return self._choose(service, frozenset()) is not None

    async def forward(
        self, route: Route, request: CallerRequest
    ) -> Result[Answer, Refusal]:
        """Return what another host answered, or why none did."""
        with trio.move_on_at(request.deadline) as scope:
            content = await request.body.hold()
        if scope.cancelled_caught:
            return Failure(
                refuse(
                    RefusalReason.CANNOT_MEET_DEADLINE,
                    "The body did not come before the deadline.",
                    Deadline(trio.current_time()),
                )
            )
        if content is None:
            return self._refuse(route, "The body is too large to pass on.")
        tried: set[HostId] = set()
        last = None
        while len(tried) < MAX_HOSTS_TRIED:
            host = self._choose(route.service, tried)
            if host is None:
                break
            tried.add(host)
            result = await self._call(host, route, request, content)
            if not may_try_another(result):
                return result
            last = result
        return last or self._refuse(
            route, "No other host is known to reach it."
        )

    def _refuse(self, route: Route, detail: str) -> Failure:
        self.counter.inc({"result": "no-host"})
        return Failure(
            refuse(
                RefusalReason.NO_TARGET,
                f"This host reaches no target of {route.service}. {detail}",
            )
        )

    def _choose(self, service: ServiceId, tried: Set[HostId]) -> HostId | None:
        """Return the host with the fewest forwarded requests, or None.

        It has to reach more targets of `service` than this host.
        """
        own = len(self.registry.targets(service))
        hosts = [
            peer.id
            for peer in self.exchange.live_peers()
            if peer.id not in tried
            and not peer.leaving
            and self.in_progress[peer.id] < MAX_FORWARDED_PER_HOST
        ]
        reached = self.paths.count_reached_by(hosts, service)
        better = [host for host in hosts if reached[host] > own]
        return min(better, key=self._rank, default=None)

    def _rank(self, host: HostId) -> tuple[int, float]:
        return self.in_progress[host], self.last_used_at.get(host, 0.0)

    async def _call(
        self,
        host: HostId,
        route: Route,
        request: CallerRequest,
        content: bytes,
    ) -> Result[Answer, Refusal]:
        number = next(self.numbers)
        payload = encode_request(number, request, content)
        until = Deadline(request.deadline + REPLY_GRACE_SECONDS)
        self.in_progress[host] += 1
        self.last_used_at[host] = Deadline(trio.current_time())
        replied = False
        request.at_peer = True
        try:
            reply = await self.exchange.call(
                host, Topic.FORWARD, payload, until
            )
            replied = True
            result = decode_reply(reply, request.method)
        except (PeerUnreachable, MalformedMessage) as error:
            # The other host may have sent it to a target.
            result = Failure(_unanswered(host, error, until))
        finally:
            self.in_progress[host] -= 1
            request.at_peer = False
            if not replied:
                request.lost_at_peer = True
                self._cancel(host, number)
        self._note(host, route, request, result)
        return result

    def _note(
        self,
        host: HostId,
        route: Route,
        request: CallerRequest,
        result: Result[Answer, Refusal],
    ) -> None:
        answered = isinstance(result, Success)
        outcome = "answered" if answered else result.failure().reason.value
        self.counter.inc({"result": "answered" if answered else "refused"})
        decisions.held(
            request.decision_trace,
            "forwarded",
            to=host,
            service=route.service,
            outcome=outcome,
        )

    def _cancel(self, host: HostId, number: int) -> None:
        """Have a request cancelled whose reply nobody waits for."""
        try:
            self.cancels_in.send_nowait((host, number))
        except trio.WouldBlock:
            log.warning("Too many cancellations wait; one is not sent.")

    async def _send_cancel(self, host: HostId, number: int) -> None:
        deadline = Deadline(trio.current_time() + CANCEL_TIMEOUT_SECONDS)
        payload = encode(ForwardCancel(id=number))
        try:
            await self.exchange.call(
                host, Topic.FORWARD_CANCEL, payload, deadline
            )
        except PeerUnreachable as error:
            log.info("A request is not cancelled at %s: %s.", host, error)


def _unanswered(host: HostId, error: Exception, until: Deadline) -> Refusal:
    reason = RefusalReason.CONNECTION_LOST
    if trio.current_time() >= until:
        reason = RefusalReason.ANSWER_TIMEOUT
    return refuse(reason, f"Host {host} did not answer: {error}.")
