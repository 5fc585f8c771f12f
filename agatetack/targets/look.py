"""Ask a target for its load on the connection that a request will use."""

from collections.abc import Mapping

import trio

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
    TargetConnection,
)
from agatetack.targets.load import LoadReader, ReadLoad, ReportedState
from agatetack.targets.parser import AnswerParser, AnswerState
from agatetack.targets.pool import TargetPool, TargetPools
from agatetack.targets.rate_limits import SendKind
from agatetack.targets.registry import LeavingSign, TargetRegistry
from agatetack.targets.state import LoadReport, ReportSource, TargetState

STRAY_SECONDS = 0.001
"""How long bytes that follow the answer are waited for. A faulty target sends
them with its answer or just behind it, and they would be taken for a broken
answer to the request."""

BURST_LOOKS = 6.0
"""Looks at one target that a host may save up, and has at its start.

A host's requests for one target come several at a time. With two saved up, one
in ten was sent without a look, and three in ten of these to a machine that had
turned slow, which took five times as long (11 hosts of 96, in 3 s of 550
requests a second). They are earned as before: no more are spent on the whole.
"""

GROUP_LOOKS = 0.75
"""Share of the looks at a target that the hosts of its group have among them,
as they send most of its requests; all others have the rest."""

MAX_ANSWER_BYTES = 4096
"""Most bytes of a load endpoint's answer; one has some 200."""


class TargetLook:
    """Asks targets for their load just before they get a request.

    The question goes over a pooled connection, which the request takes next:
    that costs no connection, and shows that it is not lost.
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
    ):
        """Note in `registry` what targets say.

        Args:
            settings: The host's settings.
            registry: The targets.
            pools: Their connections.
            load_reader: Reads load reports.
            exchange: The other hosts, which look too.
            metrics: Where the spending is counted.
            load_paths: Load paths of services that have one of their own.
        """
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
        """Spend one look at `target`; return whether there is one left.

        The load path must be known: asked for another, the target would count
        it as a request.
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
                lambda: self._lookers(target),
                BURST_LOOKS,
                start_seconds=0.0,
            )
            bucket.tokens = BURST_LOOKS
            self.buckets[target.process] = bucket
        return bucket

    def _lookers(self, target: TargetState) -> float:
        """Return how many hosts share the looks at `target` evenly."""
        hosts = self.exchange.group_hosts()
        if not hosts:
            return self.exchange.fleet_size()
        if self.exchange.shares_target(target.id, target.failure_domain):
            return len(hosts) / GROUP_LOOKS
        return self.exchange.fleet_size() / (1 - GROUP_LOOKS)

    def _forget_gone(self) -> None:
        for process in self.buckets.keys() - self.registry.by_process.keys():
            del self.buckets[process]

    async def ask(
        self, target: TargetState, deadline: Deadline
    ) -> LoadReport | None:
        """Return what the target says, or None if it does not by `deadline`.

        A pooled connection may have been lost or gone silent without a word,
        which says nothing of the target: a new one is tried then.
        """
        pool = self.pools.pool(target.process)
        while True:
            connection = await self._connect(pool, target, deadline)
            if connection is None:
                return None
            pooled = connection.requests > 0
            load = await self._ask_on(connection, pool, deadline)
            if load is not None:
                return self.registry.note_asked(
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
            return None

    async def _ask_on(
        self, connection: TargetConnection, pool: TargetPool, deadline: Deadline
    ) -> ReadLoad | None:
        """Ask on `connection`, which is closed if anything else comes.

        A later answer on it could be taken for that of the request. A pooled
        connection has half of the time.
        """
        now = trio.current_time()
        until = (now + deadline) / 2 if connection.requests else deadline
        load = None
        try:
            with trio.move_on_at(until):
                load = await self._exchange(connection, connection.target)
        finally:
            if load is None:
                pool.discard(connection)
            else:
                pool.put_back(connection)
        return load

    async def _exchange(
        self, connection: TargetConnection, target: TargetState
    ) -> ReadLoad | None:
        connection.requests += 1
        self.registry.note_sent(target, SendKind.LOOK)
        path = (self.load_paths or {}).get(
            target.service, self.settings.targets.load_path
        )
        question = f"GET {path} HTTP/1.1\r\nhost: {target.ip}:{target.port}\r\n"
        parser = AnswerParser(b"GET", MAX_ANSWER_BYTES)
        try:
            await connection.send(question.encode() + b"\r\n")
        except trio.BrokenResourceError:
            return None
        while parser.state is AnswerState.HEAD:
            await connection.receive_into(parser)
        load = self.load_reader.read(dict(parser.headers))
        if self._is_answer_of(parser, target):
            self._note_availability(parser, target, load)
        while parser.state is AnswerState.BODY:
            await connection.receive_into(parser)
        connection.idle_seconds = parser.keep_alive_seconds
        if not self._is_own_word(parser, target):
            return None
        self.registry.rate_limits.note_load_answer(
            target, parser.headers, ReportSource.ANSWER
        )
        if load.in_flight is None:
            return None
        await trio.sleep(STRAY_SECONDS)
        return load if connection.is_quiet() else None

    def _note_availability(
        self, parser: AnswerParser, target: TargetState, load: ReadLoad
    ) -> None:
        """Note what the answer says of whether `target` wants requests."""
        self.registry.pushbacks.note_answer(
            target, parser.status, parser.headers, ReportSource.ANSWER
        )
        if load.state is ReportedState.DRAINING:
            self.registry.note_leaving(target, LeavingSign.ANSWER_HEADER)

    def _is_answer_of(self, parser: AnswerParser, target: TargetState) -> bool:
        """Return whether `target` answered, if only to turn the look away."""
        if parser.state is AnswerState.BROKEN or self._is_late(parser):
            return False
        if self.instance_name is None:
            return True
        instance = find_header(parser.headers, self.instance_name)
        return instance in (None, target.id.encode())

    def _is_late(self, parser: AnswerParser) -> bool:
        """Return whether it answers an earlier request of the connection."""
        name = self.request_id_name
        return name is not None and (
            find_header(parser.headers, name) is not None
        )

    def _is_own_word(self, parser: AnswerParser, target: TargetState) -> bool:
        """Return whether this is the load endpoint's answer, and no other."""
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
