"""Define the requests and answers that pass between slices."""

import abc
import dataclasses
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from agatetack.decisions import Story
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


class CallerGone(Exception):
    """The caller's connection was lost while its request was read."""


class AnswerCut(Exception):
    """An answer's body ended before the length or end that was announced."""


class Body(abc.ABC):
    """The body of a request or an answer, read once from start to end.

    Attributes:
        length: The announced length in bytes, or None if not announced.
    """

    length: int | None = None

    @abc.abstractmethod
    async def receive(self) -> bytes:
        """Return the next bytes, or `b""` at the verified end.

        Raises:
            CallerGone: A request's body was cut.
            AnswerCut: An answer's body was cut.
        """

    def receive_nowait(self) -> bytes | None:
        """Return bytes that are here already, or None; never the end."""
        return None

    def take_whole(self) -> bytes | None:
        """Return the whole body if all of it is here and none was taken."""
        return None

    async def aclose(self) -> None:  # noqa: B027
        """Free what the body holds; there may be nothing to free."""


class BytesBody(Body):
    """A body held in memory; `rewind` makes it readable again."""

    def __init__(self, content: bytes):
        """Hold `content`."""
        self.content = content
        self.length = len(content)
        self.taken = False

    async def receive(self) -> bytes:
        """Return all bytes at the first call, then `b""`."""
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

    def rewind(self) -> None:
        """Start again at the first byte."""
        self.taken = False


async def read_whole(body: Body) -> BytesBody:
    """Return what is left of `body` in memory.

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
class AttemptNote:
    """What one attempt of a request did, for operators who ask later.

    Attributes:
        attempt: The attempt.
        target: Where it went.
        started: When it was sent.
        retry_reason: Why it was made, or None for the first.
        ended: When its header came or it failed, or None while it runs.
        failure: Why it brought no answer, or None.
        cancelled: Whether it was given up, as another one was answered or
            the caller had gone.
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
        body: A `BytesBody` where it is small enough to be sent again.
        deadline: When the answer is of no more use.
        key: The idempotency key, or None.
        arrived: When the last header byte was read.
        deadline_given: Whether the caller brought the deadline; else the
            route's stands in.
        attempts: What was done with it, in the order of the attempts.
        story: The decisions about it, for the log.
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
    attempts: list[AttemptNote] = dataclasses.field(default_factory=list)
    story: Story = dataclasses.field(default_factory=Story)

    @property
    def replayable(self) -> bool:
        """Return whether the body can be sent a second time."""
        return isinstance(self.body, BytesBody)


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
        """Free what the answer holds; a body not read to its end is cut."""
        await self.body.aclose()


class Handler(abc.ABC):
    """Whatever turns a caller's request into an answer."""

    @abc.abstractmethod
    async def handle(self, request: CallerRequest) -> Answer:
        """Return the answer; refusals are answers too, never exceptions.

        Raises:
            CallerGone: The request's body was cut, so nobody awaits an answer.
        """
