"""Probe a target's load on the connection that a request will use."""

from collections.abc import Mapping

import trio

from agatetack.clock import Lateness
from agatetack.ids import Deadline, ProcessId, ServiceId
from agatetack.measure.budget import TokenBucket
from agatetack.messages import find_header
from agatetack.metrics import Metrics
from agatetack.peers.exchange import Exchange
from agatetack.settings.model import Settings
from agatetack.targets.answer_check import encode_name
from agatetack.targets.client import Freshness
from agatetack.targets.connection import (
    ConnectFailed,
    ConnectRefused,
    ConnectTimedOut,
    TargetConnection,
)
from agatetack.targets.load import LoadReader, ParsedLoad, ReportedState
from agatetack.targets.parser import AnswerParser, AnswerState
from agatetack.targets.pool import TargetPool, TargetPools
from agatetack.targets.rate_limits import SendKind
from agatetack.targets.registry import LeavingSign, TargetRegistry
from agatetack.targets.state import LoadReport, ReportSource, TargetState

STRAY_WAIT_SECONDS = 0.001
"""How long to wait for stray bytes after the response. A faulty target sends
them with or just after its response, and they would be parsed as a malformed
response to the request."""

PRE_SEND_PROBE_BURST = 6.0
"""Capacity and initial level of a target's token bucket for pre-send probes.

A host sends several requests to one target in a burst. With a capacity of 2,
one in ten requests was sent without a probe, and three in ten of these went to
a machine that had become slow, where they took five times as long (11 of 96
hosts, 3 s of 550 requests per second). The refill rate does not depend on the
capacity, so the total number of probes is no higher.
"""

GROUP_PROBE_RATIO = 0.75
"""Share of the pre-send probes of a target for the hosts of its group, which
send most of its requests; all other hosts share the rest."""

MAX_ANSWER_BYTES = 4096
"""Maximum size of the header, of the body, and of the framing after it, in a
response of a load endpoint; a usual response has about 200 bytes."""


class PreSendProber:
    """Probes the load of targets just before they get a request.

    The probe uses a pooled connection that the request uses next. This needs
    no extra connection and verifies that the connection still works.
    """

    def __init__(
        self,
        settings: Settings,
        registry: TargetRegistry,
        pools: TargetPools,
        load_reader: LoadReader,
        exchange: Exchange,
        metrics: Metrics,
        load_paths: Mapping[ServiceId, str] | None = None,
        lateness: Lateness | None = None,
    ):
        """Record the responses of targets in `registry`.

        Args:
            settings: The host's settings.
            registry: The targets.
            pools: The connection pools of the targets.
            load_reader: Reads load reports.
            exchange: Tells how many other hosts probe the targets too.
            metrics: Counts the probes.
            load_paths: The load path of each service; None if all services
                use the load path in the settings.
            lateness: How late the host's loop is; never late if None.
        """
        self.lateness = lateness or Lateness()
        self.settings = settings
        self.registry = registry
        self.pools = pools
        self.load_reader = load_reader
        self.exchange = exchange
        self.metrics = metrics
        self.load_paths = load_paths
        self.rate = settings.measure.target_looks_per_second
        self.buckets: dict[ProcessId, TokenBucket] = {}
        names = settings.targets.headers
        self.instance_name = encode_name(names.answering_instance)
        self.request_id_name = encode_name(names.request_id)
        self.not_run_name = names.outcome.encode()

    def take(self, target: TargetState) -> bool:
        """Take a token for a probe of `target`; return whether there was one.

        Services with an unknown load path are not probed: the target would
        count a request to any other path as work.
        """
        known = self.load_paths is None or target.service in self.load_paths
        if not known or not self._bucket(target).take():
            return False
        self.metrics.budget_spent.add({"unit": "probes"}, 1)
        return True

    def _bucket(self, target: TargetState) -> TokenBucket:
        bucket = self.buckets.get(target.process)
        if bucket is None:
            self._forget_gone()
            bucket = TokenBucket(
                self.rate,
                lambda: self._sharing_hosts(target),
                PRE_SEND_PROBE_BURST,
                start_seconds=0.0,
                lateness=self.lateness,
            )
            bucket.tokens = PRE_SEND_PROBE_BURST
            self.buckets[target.process] = bucket
        return bucket

    def _sharing_hosts(self, target: TargetState) -> float:
        """Return among how many hosts the probe rate of `target` is divided."""
        hosts = self.exchange.group_hosts()
        if not hosts:
            return self.exchange.fleet_size()
        if self.exchange.shares_target(target.id, target.failure_domain):
            return len(hosts) / GROUP_PROBE_RATIO
        return self.exchange.fleet_size() / (1 - GROUP_PROBE_RATIO)

    def _forget_gone(self) -> None:
        for process in self.buckets.keys() - self.registry.by_process.keys():
            del self.buckets[process]

    async def probe(
        self, target: TargetState, deadline: Deadline
    ) -> LoadReport | None:
        """Return the target's load, or None if it is not known by `deadline`.

        A pooled connection may have been lost or gone silent unnoticed, which
        is no evidence against the target, so another connection is tried.
        """
        pool = self.pools.pool(target.process)
        while True:
            connection = await self._connect(pool, target, deadline)
            if connection is None:
                return None
            pooled = connection.requests > 0
            load = await self._probe_on(connection, pool, deadline)
            if load is not None:
                return self.registry.note_load_response(
                    target, load, ReportSource.ANSWER
                )
            now = trio.current_time()
            if not pooled or now >= deadline or not target.is_willing(now):
                return None

    async def _connect(
        self, pool: TargetPool, target: TargetState, deadline: Deadline
    ) -> TargetConnection | None:
        connection = pool.take(Freshness.ANY)
        if connection is not None:
            return connection
        try:
            return await pool.open(target, deadline)
        except ConnectFailed as error:
            if isinstance(error, ConnectRefused):
                self.registry.note_leaving(target, LeavingSign.CONNECT_REFUSED)
            elif isinstance(error, ConnectTimedOut):
                self.registry.paths.note_silence(target)
            return None

    async def _probe_on(
        self, connection: TargetConnection, pool: TargetPool, deadline: Deadline
    ) -> ParsedLoad | None:
        """Probe on `connection`, and close it unless the load is received.

        A late response on it could be taken for that of the request. On a
        pooled connection only half of the remaining time is used.
        """
        now = trio.current_time()
        until = (now + deadline) / 2 if connection.requests else deadline
        load = None
        try:
            with trio.move_on_at(until) as scope:
                load = await self._exchange(connection, connection.target)
            gave_up = scope.cancelled_caught or connection.requests == 1
            if gave_up and connection.last_byte_at <= now:
                # It was silent, or a new connection ended without a byte.
                self.registry.paths.note_silence(connection.target)
        finally:
            if load is None:
                pool.discard(connection)
            else:
                pool.put_back(connection)
        return load

    async def _exchange(
        self, connection: TargetConnection, target: TargetState
    ) -> ParsedLoad | None:
        connection.requests += 1
        self.registry.note_sent(target, SendKind.LOOK)
        path = (self.load_paths or {}).get(
            target.service, self.settings.targets.load_path
        )
        probe_head = (
            f"GET {path} HTTP/1.1\r\nhost: {target.ip}:{target.port}\r\n"
        )
        parser = AnswerParser(b"GET", MAX_ANSWER_BYTES)
        try:
            await connection.send(probe_head.encode() + b"\r\n")
        except trio.BrokenResourceError:
            return None
        while parser.state is AnswerState.HEAD:
            await connection.receive_into(parser)
        load = self.load_reader.read(dict(parser.headers))
        if self._is_answer_of(parser, target):
            self._note_availability(parser, target, load)
        while parser.state is AnswerState.BODY:
            parser.parts.clear()
            if parser.body_bytes > MAX_ANSWER_BYTES:
                return None
            await connection.receive_into(parser)
        connection.idle_seconds = parser.keep_alive_seconds
        if not self._is_load_response(parser, target):
            return None
        self.registry.rate_limits.note_load_answer(
            target, parser.headers, ReportSource.ANSWER
        )
        if load.in_flight is None:
            return None
        await trio.sleep(STRAY_WAIT_SECONDS)
        return load if connection.is_quiet() else None

    def _note_availability(
        self, parser: AnswerParser, target: TargetState, load: ParsedLoad
    ) -> None:
        """Record whether the response says that `target` accepts requests."""
        self.registry.pushbacks.note_answer(
            target, parser.status, parser.headers, ReportSource.ANSWER
        )
        if load.state is ReportedState.DRAINING:
            self.registry.note_leaving(target, LeavingSign.ANSWER_HEADER)

    def _is_answer_of(self, parser: AnswerParser, target: TargetState) -> bool:
        """Return whether `target` responded, even if it rejected the probe."""
        if parser.state is AnswerState.BROKEN or self._is_late(parser):
            return False
        if self.instance_name is None:
            return True
        instance = find_header(parser.headers, self.instance_name)
        return instance in (None, target.id.encode())

    def _is_late(self, parser: AnswerParser) -> bool:
        """Return whether it responds to an earlier caller's request."""
        name = self.request_id_name
        return name is not None and (
            find_header(parser.headers, name) is not None
        )

    def _is_load_response(
        self, parser: AnswerParser, target: TargetState
    ) -> bool:
        """Return whether this is a complete response of the load endpoint."""
        if parser.state is not AnswerState.COMPLETE or parser.stray:
            return False
        if not parser.keep_alive:
            return False
        if find_header(parser.headers, self.not_run_name) is not None:
            return False
        if self._is_late(parser):
            return False
        if self.instance_name is None:
            return True
        instance = find_header(parser.headers, self.instance_name)
        if instance == target.id.encode():
            return True
        if instance is not None:
            self.registry.note_leaving(target, LeavingSign.OTHER_INSTANCE)
        return False
