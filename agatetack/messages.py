"""Define the requests and answers that components pass to each other."""

import abc
import dataclasses
from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING, NamedTuple

from agatetack.decisions import DecisionTrace
from agatetack.ids import (
    AttemptId,
    CallerId,
    Deadline,
    IdempotencyKey,
    RequestId,
    RouteId,
    TargetId,
)
from agatetack.outcomes import RefusalReason, RetryReason

if TYPE_CHECKING:
    from agatetack.identity.accounts import ClientAccount


class Header(NamedTuple):
    """One HTTP header field; the name is in lower case."""

    name: bytes
    value: bytes


Headers = Sequence[Header]


def find_header(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the first value of header `name` (lower case), or None."""
    for header in headers:
        if header.name == name:
            return header.value
    return None


def is_status(code: int) -> bool:
    """Return whether `code` is an HTTP status (RFC 9110, section 15)."""
    return 100 <= code <= 599


class CallerGone(Exception):
    """The caller's connection was lost while its request was being read."""


class AnswerCut(Exception):
    """An answer's body ended before its Content-Length or last chunk."""


class AnswerOverdue(AnswerCut):
    """An answer's body was not complete when it had to be."""


class Body(abc.ABC):
    """The body of a request or an answer, read once from start to end.

    Attributes:
        length: The announced length in bytes, or None if not announced.
        arrived_at: When the last byte of a request's body was read; None if
            it was not or is not recorded.
    """

    length: int | None = None
    arrived_at: Deadline | None = None

    @property
    def replayable(self) -> bool:
        """Return whether it can be read again from its first byte."""
        return False

    @property
    def in_memory(self) -> bool:
        """Return whether all of it can be read at once, any number of times."""
        return False

    @property
    def held_bytes(self) -> int:
        """Return how many bytes of it are in memory until it is closed."""
        return 0

    def reader(self) -> "Body":
        """Return a body that reads this one from its first byte."""
        return self

    async def hold(self) -> bytes | None:
        """Read all of a request's body and return it.

        Returns:
            None, with nothing read, if it is too large to be kept.
        """
        return None

    def forget(self) -> None:  # noqa: B027
        """Release what was kept of it, as it is not read again."""

    @abc.abstractmethod
    async def receive(self) -> bytes:
        """Return the next bytes, or `b""` at the end of a complete body.

        Raises:
            CallerGone: A request's body was cut.
            AnswerCut: An answer's body was cut.
        """

    def receive_nowait(self) -> bytes | None:
        """Return bytes that have arrived, or None; never reports the end."""
        return None

    def take_whole(self) -> bytes | None:
        """Return the body if it is complete in memory and wholly unread."""
        return None

    async def aclose(self) -> None:  # noqa: B027
        """Release the body's resources; by default there are none."""


class BytesBody(Body):
    """A body in memory; `rewind` makes it readable again."""

    def __init__(self, content: bytes):
        """Create a body of the bytes `content`."""
        self.content = content
        self.length = len(content)
        self.taken = False

    async def receive(self) -> bytes:
        """Return all bytes on the first call, then `b""`."""
        if self.taken:
            return b""
        self.taken = True
        return self.content

    def receive_nowait(self) -> bytes | None:
        """Return all bytes, if they were not taken yet."""
        if self.taken or not self.content:
            return None
        self.taken = True
        return self.content

    def take_whole(self) -> bytes | None:
        """Return all bytes, if they were not taken yet."""
        if self.taken:
            return None
        self.taken = True
        return self.content

    @property
    def replayable(self) -> bool:
        """Return True: it is in memory."""
        return True

    @property
    def in_memory(self) -> bool:
        """Return True."""
        return True

    @property
    def held_bytes(self) -> int:
        """Return its length."""
        return self.length

    async def hold(self) -> bytes:
        """Return all bytes."""
        return self.content

    def rewind(self) -> None:
        """Start again at the first byte."""
        self.taken = False


async def read_whole(body: Body) -> BytesBody:
    """Read the rest of `body` into memory.

    Raises:
        CallerGone: A request's body was cut.
        AnswerCut: An answer's body was cut.
    """
    parts = []
    while True:
        data = await body.receive()
        if not data:
            return BytesBody(b"".join(parts))
        parts.append(data)


@dataclasses.dataclass(slots=True)
class AttemptRecord:
    """Record of one attempt of a request, for operators' inquiries.

    Attributes:
        attempt: The attempt's id.
        target: The target that it was sent to.
        started: When it was sent.
        retry_reason: Why it was made, or None for the first.
        ended: When the answer's header arrived or the attempt failed; None
            while it runs.
        failure: Why it got no answer, or None.
        cancelled: Whether it was cancelled, because another attempt was
            answered or the caller had disconnected.
    """

    attempt: AttemptId
    target: TargetId
    started: Deadline
    retry_reason: RetryReason | None = None
    ended: Deadline | None = None
    failure: RefusalReason | None = None
    cancelled: bool = False


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """One request of a caller.

    Attributes:
        request_id: The caller's id for it, or one made at arrival.
        caller: Who sent it.
        method: The HTTP method, such as `b"GET"`.
        path: Path and query as sent.
        host: The Host header without its port, in lower case.
        headers: Header fields, without hop-by-hop ones.
        body: The body; a `BytesBody` if it was read before the request was
            handled.
        deadline: Time after which the caller has no use for the answer.
        key: The idempotency key, or None.
        arrived: When the last header byte was read.
        deadline_given: Whether the caller sent the deadline; otherwise it
            is the route's.
        attempts: Its attempts, in order.
        decision_trace: The decisions about it, for the log.
        forwarded: Whether another host passed it to this one.
        at_peer: Whether this host has passed it to another one that has not
            replied yet.
        lost_at_peer: Whether another host had it and did not reply, so that it
            may have run.
        account: The client account that it was identified as, or None.
        returning: Whether its caller has surely sent it before.
    """

    request_id: RequestId
    caller: CallerId
    method: bytes
    path: bytes
    host: bytes
    headers: Headers
    body: Body
    deadline: Deadline
    key: IdempotencyKey | None
    arrived: Deadline
    deadline_given: bool = True
    attempts: list[AttemptRecord] = dataclasses.field(default_factory=list)
    decision_trace: DecisionTrace = dataclasses.field(
        default_factory=DecisionTrace
    )
    forwarded: bool = False
    at_peer: bool = False
    lost_at_peer: bool = False
    account: "ClientAccount | None" = None
    returning: bool = False

    @property
    def replayable(self) -> bool:
        """Return whether the body can be sent again from its first byte."""
        return self.body.replayable

    def sent_since(self, started: Deadline) -> Deadline:
        """Return since when a target could have all of the request.

        Args:
            started: When the request was sent to the target.
        """
        return max(started, self.body.arrived_at or started)


@dataclasses.dataclass(slots=True)
class Answer:
    """An answer on its way to the caller.

    Attributes:
        status: The HTTP status.
        headers: Header fields, without hop-by-hop ones and lengths.
        body: Its body; `body.length` gives the Content-Length, if known.
        route: The route it belongs to, or None if there is none.
    """

    status: int
    headers: list[Header]
    body: Body
    route: RouteId | None = None

    async def aclose(self) -> None:
        """Release the answer; a body not read to its end is truncated."""
        await self.body.aclose()


class Handler(abc.ABC):
    """Handles a caller's request and returns the answer."""

    @abc.abstractmethod
    async def handle(self, request: CallerRequest) -> Answer:
        """Return the answer; refusals are answers too, never exceptions.

        Raises:
            CallerGone: The request's body was cut, so nobody waits for an
                answer.
        """
