"""Stand in for a target that rejects requests and repeats its responses."""

import dataclasses
import functools

import trio

from agatetack.hosts.listed_target import ListedTarget
from agatetack.testing.raw_target import RawTarget
from agatetack.testing.targets import loopback_target

SLOTS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Repeats:
    """What a target rejects, and how it repeats its responses.

    Attributes:
        rejections: How many times it rejects each request before it runs it.
        of_rejections: Whether it repeats rejections.
        of_answers: Whether it repeats the answers to requests that it ran.
        after_seconds: How long after the response.
        split: Whether the copy is sent in two parts, the second one later.
        identified: Whether the copy has the request's id.
        work_seconds: How long a request runs.
    """

    rejections: int = 1
    of_rejections: bool = False
    of_answers: bool = False
    after_seconds: float = 0.0
    split: bool = False
    identified: bool = True
    work_seconds: float = 0.05


class RepeatingTarget:
    """A target whose rejections and answers may come twice.

    Attributes:
        name: Its instance.
        repeats: What it rejects and repeats.
        runs: Ids of the requests that it ran, in order.
        rejected: Ids of the requests that it rejected, in order.
        raw: Its listener.
    """

    def __init__(self, name: str, repeats: Repeats, nursery: trio.Nursery):
        """Send copies from tasks in `nursery`."""
        self.name = name
        self.repeats = repeats
        self.nursery = nursery
        self.runs: list[bytes] = []
        self.rejected: list[bytes] = []
        self.raw = RawTarget(self._serve)

    async def start(self) -> ListedTarget:
        """Listen, and return the entry of the target."""
        state = await self.nursery.start(self.raw.serve)
        return loopback_target(self.name, state.port, SLOTS)

    async def _serve(self, stream: trio.SocketStream, number: int) -> None:
        data = b""
        while True:
            while b"\r\n\r\n" not in data:
                part = await stream.receive_some()
                if not part:
                    return
                data += part
            head, _, data = data.partition(b"\r\n\r\n")
            length = int(_header(head, b"content-length") or 0)
            while len(data) < length:
                data += await stream.receive_some()
            data = data[length:]
            await self._answer(stream, head)

    async def _answer(self, stream: trio.SocketStream, head: bytes) -> None:
        request_id = _header(head, b"request-id")
        if request_id is None:
            await stream.send_all(self._response(200, None))
            return
        repeats = self.repeats
        is_rejected = self.rejected.count(request_id) < repeats.rejections
        if is_rejected:
            self.rejected.append(request_id)
            status, repeated = 503, repeats.of_rejections
        else:
            self.runs.append(request_id)
            await trio.sleep(repeats.work_seconds)
            status, repeated = 200, repeats.of_answers
        response = self._response(status, request_id)
        copy = self._response(
            status, request_id if repeats.identified else None
        )
        if repeated and not repeats.after_seconds:
            response += copy
        await stream.send_all(response)
        if repeated and repeats.after_seconds:
            self.nursery.start_soon(
                functools.partial(self._send_copy, stream, copy)
            )

    async def _send_copy(self, stream: trio.SocketStream, copy: bytes) -> None:
        await trio.sleep(self.repeats.after_seconds)
        half = len(copy) // 2 if self.repeats.split else len(copy)
        try:
            await stream.send_all(copy[:half])
            if copy[half:]:
                await trio.sleep(0.005)
                await stream.send_all(copy[half:])
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The host has closed the connection.
            return

    def _response(self, status: int, request_id: bytes | None) -> bytes:
        body = b"ran " + request_id if request_id and status == 200 else b""
        head = b"HTTP/1.1 %d X\r\nserver-load: 0,0,%d,100\r\n" % (status, SLOTS)
        if status == 503:
            head += b"not-executed: 1\r\n"
        if request_id is not None:
            head += b"request-id: %b\r\n" % request_id
        head += b"server-signature: s\r\ninstance-id: %b\r\n" % (
            self.name.encode()
        )
        return head + b"content-length: %d\r\n\r\n%b" % (len(body), body)


def _header(head: bytes, name: bytes) -> bytes | None:
    for line in head.split(b"\r\n"):
        found, _, value = line.partition(b":")
        if found.lower() == name:
            return value.strip()
    return None
