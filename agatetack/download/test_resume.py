"""Check that a large answer is complete or ends with an error."""

import dataclasses

import pytest
import trio
from returns.result import Failure, Success

from agatetack.config.route import RequestClass, Route
from agatetack.download.ranges import (
    ByteRange,
    answer_byte_range,
    strong_validator,
)
from agatetack.download.resume import ResumingBody
from agatetack.ids import (
    CallerId,
    Deadline,
    RequestId,
    RouteId,
    ServiceId,
    TeamId,
)
from agatetack.messages import (
    Answer,
    AnswerCut,
    Body,
    BytesBody,
    CallerRequest,
    Header,
    find_header,
)
from agatetack.metrics import Metrics
from agatetack.outcomes import RefusalReason, refuse

ROUTE = Route(
    RouteId("r"), TeamId("t"), ServiceId("s"), RequestClass.WHOLE, "/"
)
CONTENT = bytes(range(100)) * 10
STRONG, WEAK, OTHER = b'"a"', b'W/"a"', b'"b"'


class Piece(Body):
    """A body in small chunks, cut off after `cut_after` bytes."""

    def __init__(self, content, cut_after, length):
        self.content = content
        self.cut_after = cut_after
        self.length = length
        self.sent = 0
        self.closed = False

    async def receive(self):
        await trio.lowlevel.checkpoint()
        end = len(self.content)
        if self.cut_after is not None:
            end = min(end, self.cut_after)
        part = self.content[self.sent : min(self.sent + 64, end)]
        self.sent += len(part)
        if not part and end < len(self.content):
            raise AnswerCut("cut")
        return part

    async def aclose(self):
        self.closed = True


@dataclasses.dataclass
class Step:
    """What one target does with a request."""

    cut_after: int | None = None
    etag: bytes | None = STRONG
    ranges: bool = True
    shift: int = 0
    total: int = len(CONTENT)
    announces: bool = True
    refuses: bool = False


def answer(step, wanted):
    """Answer as a target would; `wanted` is the Range header or None."""
    headers = [] if step.etag is None else [Header(b"etag", step.etag)]
    first, status = 0, 200
    if wanted is not None and step.ranges:
        start, _, end = wanted.removeprefix(b"bytes=").partition(b"-")
        first, last = int(start) + step.shift, int(end)
        status = 206
        span = b"bytes %d-%d/%d" % (first, last, step.total)
        headers.append(Header(b"content-range", span))
    content = CONTENT[first:]
    length = len(content) if step.announces else None
    return Answer(status, headers, Piece(content, step.cut_after, length))


class Attempts:
    """Answers range requests by the steps of a script."""

    def __init__(self, steps):
        self.steps = list(steps)
        self.requests = []

    async def run(self, route, request, hedged):
        self.requests.append(request)
        step = self.steps.pop(0) if self.steps else Step(refuses=True)
        if step.refuses:
            return Failure(refuse(RefusalReason.NO_TARGET, "none"))
        return Success(answer(step, find_header(request.headers, b"range")))


async def fetch(steps, seconds=5.0, wanted=None, method=b"GET", sent=b""):
    """Return what the caller gets, why it was cut off, and the attempts."""
    headers = [] if wanted is None else [Header(b"range", wanted)]
    now = trio.current_time()
    request = CallerRequest(
        request_id=RequestId("r"),
        caller=CallerId("c"),
        method=method,
        path=b"/x",
        host=b"a",
        headers=headers,
        body=BytesBody(sent),
        deadline=Deadline(now + seconds),
        key=None,
        arrived=Deadline(now),
    )
    attempts = Attempts(steps[1:])
    first = answer(steps[0], wanted)
    body = ResumingBody(ROUTE, request, first, attempts, Metrics())
    content = b""
    try:
        while part := await body.receive():
            content += part
    except AnswerCut as cut:
        return content, str(cut), attempts
    return content, None, attempts


@pytest.mark.parametrize(
    "steps",
    [
        [Step()],
        [Step(cut_after=0), Step()],
        [Step(cut_after=100), Step()],
        [Step(cut_after=999), Step()],
        [Step(cut_after=100), Step(cut_after=100), Step(cut_after=1), Step()],
        [Step(cut_after=100), Step(ranges=False)],
        [Step(cut_after=100), Step(cut_after=150, ranges=False), Step()],
        [Step(cut_after=100), Step(cut_after=50, ranges=False), Step()],
        [Step(cut_after=300), Step(cut_after=0), Step(cut_after=0), Step()],
        [Step(etag=WEAK)],
        [Step(etag=None, announces=False)],
    ],
)
async def test_the_caller_gets_every_byte_once(steps, autojump_clock):
    content, cut, _ = await fetch(steps)
    assert cut is None
    assert content == CONTENT


@pytest.mark.parametrize(
    ("steps", "reason"),
    [
        ([Step(cut_after=100, etag=None)], "no-validator"),
        ([Step(cut_after=100, etag=WEAK), Step()], "no-validator"),
        ([Step(cut_after=100, announces=False), Step()], "no-length"),
        ([Step(cut_after=100), Step(etag=OTHER)], "changed"),
        ([Step(cut_after=100), Step(etag=OTHER, ranges=False)], "changed"),
        ([Step(cut_after=100), Step(shift=1)], "wrong-range"),
        ([Step(cut_after=100), Step(shift=-1)], "wrong-range"),
        ([Step(cut_after=100), Step(total=2000)], "wrong-range"),
        ([Step(cut_after=100), Step(announces=False)], "wrong-range"),
        ([Step(cut_after=100), Step(refuses=True)], "refused"),
        (
            [Step(cut_after=100)] + [Step(cut_after=0)] * 9,
            "fruitless",
        ),
    ],
)
async def test_what_cannot_go_on_is_cut(steps, reason, autojump_clock):
    content, cut, _ = await fetch(steps)
    assert cut == reason
    assert CONTENT.startswith(content)
    assert len(content) < len(CONTENT)


# Guards against targets that run a request which nobody sent: the caller's, but
# with an empty body.
@pytest.mark.parametrize(
    ("method", "sent"),
    [(b"POST", b"query"), (b"POST", b""), (b"GET", b"query"), (b"PUT", b"")],
)
async def test_only_a_get_without_a_body_is_sent_again(
    method, sent, autojump_clock
):
    content, cut, attempts = await fetch(
        [Step(cut_after=100), Step()], method=method, sent=sent
    )
    assert cut == "not-repeatable"
    assert content == CONTENT[:100]
    assert not attempts.requests


async def test_a_callers_own_range_is_resumed_within_it(autojump_clock):
    content, cut, attempts = await fetch(
        [Step(cut_after=100), Step()], wanted=b"bytes=200-999"
    )
    assert cut is None
    assert content == CONTENT[200:]
    sent = attempts.requests[0].headers
    assert find_header(sent, b"range") == b"bytes=300-999"
    assert find_header(sent, b"if-range") == STRONG


async def test_a_passed_deadline_ends_the_resuming(autojump_clock):
    content, cut, _ = await fetch([Step(cut_after=100), Step()], seconds=0)
    assert cut == "deadline"


@pytest.mark.parametrize(
    ("status", "content_range", "length", "expected"),
    [
        (200, None, 5, ByteRange(0, 4, 5)),
        (200, None, None, None),
        (200, None, 0, None),
        (206, b"bytes 2-4/9", 3, ByteRange(2, 4, 9)),
        (206, b"bytes 2-4/9", 4, None),
        (206, b"bytes 2-9/9", 8, None),
        (206, b"bytes 2-4/*", 3, None),
        (206, b"lines 2-4/9", 3, None),
        (206, None, 3, None),
        (404, None, 3, None),
    ],
)
def test_reads_which_bytes_an_answer_holds(
    status, content_range, length, expected
):
    headers = []
    if content_range is not None:
        headers.append(Header(b"content-range", content_range))
    assert answer_byte_range(status, headers, length) == expected


@pytest.mark.parametrize(
    ("etag", "expected"),
    [(b'"a"', b'"a"'), (b'W/"a"', None), (b"a", None), (None, None)],
)
def test_only_a_strong_validator_counts(etag, expected):
    headers = [] if etag is None else [Header(b"etag", etag)]
    assert strong_validator(headers) == expected
