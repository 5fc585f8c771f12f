"""Send the load of a site and note what became of each request."""

import dataclasses
import enum
import math
import random
from collections import deque
from collections.abc import Mapping, Sequence

import trio

from agatetack.ids import FailureDomain
from agatetack.testing.export_content import ByteRange, export_chunks
from bench.soak.connection import (
    AnswerMalformed,
    CallerAnswer,
    Connection,
    ConnectionCut,
)
from bench.soak.links import Link, draw_path
from bench.soak.machines import CALLERS_PORT
from bench.soak.site import Habit, Kind, RequestKind, Site, Traffic
from bench.soak.world import World

CONNECT_SECONDS = 1.0
"""Longest time to open a connection."""

MAX_BACKOFF_RATIO = 1 / 3
"""Largest part of the time left that a caller waits as it is told."""

NOT_RUN = frozenset({408, 421, 429, 503})
"""Statuses that promise that the request has not run."""

MAX_PIPELINED = 4
"""Most requests that are sent on one connection before the first answer."""

LOSS_SLACK_SECONDS = 0.2
"""A connection that ends so soon after a request may cross it."""

FINAL = frozenset({400, 401, 404, 413, 431})
"""Statuses after which nothing is asked again."""


class Result(enum.Enum):
    """What became of one attempt of a caller."""

    SERVED = "served"
    WRONG = "wrong-answer"
    REFUSED = "refused"
    FAILED = "failed"
    CUT = "cut"
    NOT_CONNECTED = "not-connected"
    NOT_READ = "not-read"
    LATE = "late"


NOT_SEEN = frozenset({Result.REFUSED, Result.NOT_CONNECTED, Result.NOT_READ})
"""Results after which a request that may run once only is asked again."""


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt of a caller.

    Attributes:
        request_id: Its own id.
        host: The host that it went to.
        started: When, in seconds of the run.
        ended: When its answer or end came.
        result: What became of it.
        status: The status of its answer; 0 without one.
        detail: The reason of a refusal, or how it was cut.
        sent: When its last byte was sent.
        kept: Whether it went over a connection that was used before.
        behind: Whether it was sent behind another one that was not answered.
        delivered: Whether it reached a host that then cut the connection.
        deadline: When its host may give it up at the earliest, as its own
            deadline or its route's timeout is reached, in seconds of the run.
    """

    request_id: str
    host: str
    started: float
    ended: float = 0.0
    result: Result = Result.LATE
    status: int = 0
    detail: str = ""
    sent: float = 0.0
    kept: bool = False
    behind: bool = False
    delivered: bool = False
    deadline: float = math.inf


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """One request of a caller, with all its attempts.

    Attributes:
        kind: What it asks for.
        domain: Where its caller is.
        started: When, in seconds of the run.
        attempts: Its attempts, oldest first.
    """

    kind: RequestKind
    domain: FailureDomain
    started: float
    attempts: list[Attempt] = dataclasses.field(default_factory=list)

    @property
    def served(self) -> bool:
        """Return whether it got the answer that it asked for."""
        return any(each.result is Result.SERVED for each in self.attempts)


class Callers:
    """All callers of a site.

    Attributes:
        requests: All requests so far, oldest first.
        epoch: The start of the run on trio's clock.
        links: The links of hosts, by id; none for hosts that are missing.
    """

    def __init__(self, site: Site, world: World, seed: int):
        """Send the load of `site` to the hosts of `world`."""
        self.site = site
        self.world = world
        self.seed = seed
        self.requests: list[CallerRequest] = []
        self.epoch = 0.0
        self.number = 0
        self.links: dict[str, Link] = {}

    async def run(self, epoch: float, until: float) -> None:
        """Send requests until a time on trio's clock, then wait for answers.

        Args:
            epoch: The start of the run.
            until: When the last request is sent.
        """
        self.epoch = epoch
        async with trio.open_nursery() as nursery:
            for traffic in self.site.traffic:
                for name, rate in traffic.rates.items():
                    kind = self.site.kinds[name]
                    nursery.start_soon(
                        self._send_kind, traffic, kind, rate, until, nursery
                    )

    def now(self) -> float:
        """Return the time since the start of the run, in seconds."""
        return trio.current_time() - self.epoch

    def new_id(self) -> str:
        """Return a request id that no other request has."""
        self.number += 1
        return f"s{self.seed}-{self.number}"

    async def _send_kind(
        self,
        traffic: Traffic,
        kind: RequestKind,
        rate: float,
        until: float,
        nursery: trio.Nursery,
    ) -> None:
        source = random.Random(f"{self.seed} {traffic.domain} {kind.name}")
        clients = [
            Client(self, kind, traffic.domain, f"{kind.name}-{number}", source)
            for number in range(traffic.clients)
        ]
        at = trio.current_time()
        while True:
            count = 1
            if kind.habit is Habit.PIPELINE:
                count = source.randint(1, MAX_PIPELINED)
            at += source.expovariate(rate / count)
            if at >= until:
                break
            await trio.sleep_until(at)
            nursery.start_soon(source.choice(clients).ask, count)


class Client:
    """One client, with the connections that it keeps open."""

    def __init__(
        self,
        callers: Callers,
        kind: RequestKind,
        domain: FailureDomain,
        name: str,
        source: random.Random,
    ):
        """Ask for one kind of request."""
        self.callers = callers
        self.kind = kind
        self.domain = domain
        self.name = f"{domain}-{name}"
        self.source = source
        self.sizes = random.Random(f"{callers.seed} {self.name} sizes")
        self.network_path = draw_path(
            random.Random(f"{callers.seed} {self.name} path")
        )
        self.idle: dict[str, list[Connection]] = {}
        self.asked = 0

    async def ask(self, count: int) -> None:
        """Ask, and again as the callers' rules allow.

        Args:
            count: Requests that are sent on one connection before the first
                answer.
        """
        callers, kind = self.callers, self.kind
        requests = [
            CallerRequest(kind, self.domain, callers.now())
            for _ in range(count)
        ]
        callers.requests += requests
        deadline = trio.current_time() + kind.deadline_seconds
        attempts = await self._attempt(requests, 0, deadline)
        async with trio.open_nursery() as nursery:
            for request, attempt in zip(requests, attempts, strict=True):
                nursery.start_soon(self._ask_again, request, attempt, deadline)

    async def _ask_again(
        self, request: CallerRequest, attempt: Attempt, deadline: float
    ) -> None:
        for number in range(1, self.kind.retries + 1):
            if not self._may_repeat(attempt):
                return
            left = deadline - trio.current_time()
            told = _retry_after(attempt)
            await trio.sleep(min(told, max(0.0, left) * MAX_BACKOFF_RATIO))
            if trio.current_time() >= deadline:
                return
            (attempt,) = await self._attempt([request], number, deadline)

    def _may_repeat(self, attempt: Attempt) -> bool:
        if attempt.result in (Result.SERVED, Result.WRONG, Result.LATE):
            return False
        if attempt.status in FINAL:
            return False
        if self.kind.kind is not Kind.ONCE:
            return True
        return attempt.result in NOT_SEEN

    async def _attempt(
        self, requests: Sequence[CallerRequest], number: int, deadline: float
    ) -> Sequence[Attempt]:
        """Attempt some requests on one connection; return the attempts."""
        callers = self.callers
        self.asked += number > 0
        host = callers.world.entry.choose(
            f"{self.name} {self.asked}", self.domain
        )
        attempts = []
        for request in requests:
            attempt = Attempt(callers.new_id(), host.id, callers.now())
            attempt.behind = bool(attempts)
            request.attempts.append(attempt)
            attempts.append(attempt)
        with trio.move_on_at(deadline):
            await self._exchange(attempts, deadline, fresh=number > 0)
        for attempt in attempts:
            attempt.ended = attempt.ended or callers.now()
        return attempts

    async def _exchange(
        self, attempts: Sequence[Attempt], deadline: float, fresh: bool
    ) -> None:
        connection = None if fresh else await self._take_idle(attempts)
        if connection is None:
            connection = await self._connect(attempts)
        if connection is None:
            return
        paths = [self._path() for _ in attempts]
        waiting = deque(zip(attempts, paths, strict=True))
        try:
            for attempt, path in waiting:
                await connection.send(self._request(attempt, path, deadline))
                attempt.sent = self.callers.now()
            while waiting and (connection.usable or connection.held):
                answer = await connection.receive()
                self._judge(*waiting.popleft(), answer)
                if waiting:
                    waiting[0][0].behind = False
            for attempt, _ in waiting:
                attempt.result = Result.NOT_READ
                attempt.detail = "behind the last answer"
        except ConnectionCut as cut:
            for attempt, _ in waiting:
                self._note_cut(attempt, cut, connection.delivered)
            if isinstance(cut, AnswerMalformed):
                waiting[0][0].result = Result.WRONG
        except trio.Cancelled:
            with trio.CancelScope(shield=True):
                await connection.close()
            raise
        # One that is not usable is ended when the next one is taken.
        kept = connection.usable or (
            self.callers.links and not self.network_path.prompt
        )
        if kept and self.kind.habit is not Habit.FRESH:
            self.idle.setdefault(attempts[0].host, []).append(connection)
        else:
            with trio.CancelScope(shield=True):
                await connection.close()

    def _note_cut(
        self, attempt: Attempt, cut: ConnectionCut, delivered: bool
    ) -> None:
        """Note a cut; one that comes at once may cross the request."""
        now = self.callers.now()
        early = attempt.behind or now - attempt.sent <= LOSS_SLACK_SECONDS
        ran = self.callers.world.has_run(attempt.request_id)
        attempt.ended = now
        attempt.detail = str(cut)
        attempt.delivered = delivered
        unread = early or not delivered
        attempt.result = Result.NOT_READ if unread and not ran else Result.CUT

    async def _take_idle(
        self, attempts: Sequence[Attempt]
    ) -> Connection | None:
        """Return an open connection, to whichever host it stands."""
        for host, connections in list(self.idle.items()):
            while connections:
                connection = connections.pop()
                if not (connection.usable and connection.open):
                    await connection.close()
                    continue
                for attempt in attempts:
                    attempt.host, attempt.kept = host, True
                return connection
        return None

    async def _connect(self, attempts: Sequence[Attempt]) -> Connection | None:
        host = attempts[0].host
        ip = self.callers.world.ready_addresses[host]
        link = self.callers.links.get(host)
        try:
            with trio.fail_after(CONNECT_SECONDS):
                if link is None:
                    stream = await trio.open_tcp_stream(ip, CALLERS_PORT)
                else:
                    stream = await link.open(
                        ip, CALLERS_PORT, self.network_path
                    )
        except (OSError, trio.TooSlowError) as error:
            for attempt in attempts:
                attempt.result = Result.NOT_CONNECTED
                attempt.detail = type(error).__name__
            return None
        return Connection(stream)

    def _path(self) -> str:
        kind = self.kind
        work = f"service_ms={self._work_ms():.1f}"
        if kind.kind is Kind.DOWNLOAD:
            return f"/export?bytes={self._answer_bytes()}&{work}"
        return f"/{kind.name}/x?{work}"

    def _answer_bytes(self) -> int:
        kind = self.kind
        if not self.callers.links:
            return kind.answer_bytes
        drawn = _draw(self.sizes, kind.answer_bytes, kind.answer_sigma)
        return min(round(drawn), kind.max_answer_bytes)

    def _work_ms(self) -> float:
        kind = self.kind
        return _draw(self.source, kind.work_seconds, kind.work_sigma) * 1000

    def _request(self, attempt: Attempt, path: str, deadline: float) -> bytes:
        left_ms = max(1, round((deadline - trio.current_time()) * 1000))
        seconds = min(left_ms / 1000, self.kind.timeout_seconds)
        attempt.deadline = self.callers.now() + seconds
        method = self._method()
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {self.kind.name}.example",
            f"Request-Id: {attempt.request_id}",
            f"Request-Timeout-Ms: {left_ms}",
        ]
        if method == "POST":
            lines.append("Content-Length: 0")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def _method(self) -> str:
        return "POST" if self.kind.kind is Kind.ONCE else "GET"

    def _judge(self, attempt: Attempt, path: str, answer: CallerAnswer) -> None:
        attempt.ended = self.callers.now()
        attempt.status = answer.status
        attempt.detail = answer.headers.get(b"x-reason", b"").decode()
        if answer.status == 200:
            whole = answer.body == self._whole(attempt, path)
            signed = b"server-signature" in answer.headers
            right = whole and signed
            attempt.result = Result.SERVED if right else Result.WRONG
        elif answer.status in NOT_RUN:
            attempt.result = Result.REFUSED
            told = answer.headers.get(b"retry-after", b"0").decode()
            attempt.detail += f" retry-after={told}"
        else:
            attempt.result = Result.FAILED

    def _whole(self, attempt: Attempt, path: str) -> bytes:
        if self.kind.kind is Kind.DOWNLOAD:
            size = int(path.partition("bytes=")[2].partition("&")[0])
            span = ByteRange(0, size)
            return b"".join(export_chunks(span))
        line = f"{self._method()} {path} {attempt.request_id}\n"
        return line.encode()


def _draw(source: random.Random, mean: float, sigma: float) -> float:
    """Draw from a log-normal distribution with a mean and a spread."""
    return source.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)


def _retry_after(attempt: Attempt) -> float:
    """Return how long the answer asked to wait, in seconds."""
    _, _, told = attempt.detail.partition("retry-after=")
    try:
        return float(told or 0)
    except ValueError:
        return 0.0


def count_results(
    requests: list[CallerRequest],
) -> Mapping[Result, int]:
    """Return the number of requests by the result of their last attempt."""
    counts = dict.fromkeys(Result, 0)
    for request in requests:
        if request.served:
            counts[Result.SERVED] += 1
        elif request.attempts:
            counts[request.attempts[-1].result] += 1
    return counts
