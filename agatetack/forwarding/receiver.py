"""Run requests that other hosts pass to this one."""

from collections.abc import Awaitable, Callable

import trio
from returns.result import Failure, Result

from agatetack.forwarding.messages import (
    encode_answer,
    encode_refusal,
    to_request,
)
from agatetack.generated.forwarding.ttypes import (
    ForwardCancel,
    ForwardedRequest,
)
from agatetack.ids import HostId
from agatetack.lifecycle.in_flight import InFlightRequests
from agatetack.logs import PartLog
from agatetack.messages import Answer, AnswerCut, CallerRequest
from agatetack.metrics import Metrics
from agatetack.outcomes import Refusal, RefusalReason, refuse
from agatetack.peers.exchange import Exchange, Topic
from agatetack.thrift_codec import MalformedMessage, decode

MAX_ANSWER_RATIO = 0.5
"""Largest answer that is passed back, as a ratio of the largest frame."""

log = PartLog("forwarding")

RunRequest = Callable[[CallerRequest], Awaitable[Result[Answer, Refusal]]]
"""Runs a request at targets that this host reaches."""


class ForwardReceiver:
    """Runs requests of other hosts, and cancels them when told to.

    Attributes:
        running: Cancels each request in progress, by host and its number.
    """

    def __init__(
        self,
        exchange: Exchange,
        run_request: RunRequest,
        in_flight: InFlightRequests,
        max_frame_bytes: int,
        metrics: Metrics,
    ):
        """Answer calls of other hosts.

        Args:
            exchange: The other hosts.
            run_request: Runs a request.
            in_flight: Where requests are tracked until they have ended.
            max_frame_bytes: Largest reply that other hosts accept.
            metrics: Where requests of other hosts are counted.
        """
        self.run_request = run_request
        self.in_flight = in_flight
        self.max_answer_bytes = int(MAX_ANSWER_RATIO * max_frame_bytes)
        self.running: dict[tuple[HostId, int], trio.CancelScope] = {}
        self.counter = metrics.counter(
            "agatetack_forwarded_here_total",
            "Requests that other hosts passed to this one, by result.",
        )
        exchange.serve(Topic.FORWARD, self.answer)
        exchange.serve(Topic.FORWARD_CANCEL, self.cancel)

    async def answer(self, sender: HostId, payload: bytes) -> bytes | None:
        """Run the request of a call; return None if it was cancelled."""
        try:
            message = decode(ForwardedRequest, payload)
        except MalformedMessage as error:
            log.error("A request of %s is malformed: %s.", sender, error)
            return None
        request = to_request(message)
        key = (sender, message.id)
        reply = None
        with (
            self.in_flight.track(request.request_id, None),
            trio.CancelScope() as scope,
        ):
            self.running[key] = scope
            try:
                reply = await self._run(request)
            finally:
                del self.running[key]
        if reply is None:
            self.counter.inc({"result": "cancelled"})
        return reply

    async def cancel(self, sender: HostId, payload: bytes) -> bytes | None:
        """Cancel a request that `sender` no longer waits for."""
        try:
            message = decode(ForwardCancel, payload)
        except MalformedMessage as error:
            log.error("A cancellation of %s is malformed: %s.", sender, error)
            return None
        scope = self.running.get((sender, message.id))
        if scope is not None:
            scope.cancel()
        return b""

    async def _run(self, request: CallerRequest) -> bytes:
        result = await self.run_request(request)
        if isinstance(result, Failure):
            return self._refuse(result.failure())
        answer = result.unwrap()
        length = answer.body.length
        try:
            content = await self._read(answer)
        except AnswerCut:
            return self._refuse(
                refuse(RefusalReason.ANSWER_CUT, "The answer was cut.")
            )
        finally:
            with trio.CancelScope(shield=True):
                await answer.aclose()
        if content is None:
            return self._refuse(
                refuse(
                    RefusalReason.RESULT_TOO_LARGE,
                    "The answer is too large to be passed back.",
                )
            )
        self.counter.inc({"result": "answered"})
        return encode_answer(answer, length, content)

    async def _read(self, answer: Answer) -> bytes | None:
        """Return the whole body, or None if it is too large."""
        parts = []
        size = 0
        while True:
            data = await answer.body.receive()
            if not data:
                return b"".join(parts)
            size += len(data)
            if size > self.max_answer_bytes:
                return None
            parts.append(data)

    def _refuse(self, refusal: Refusal) -> bytes:
        self.counter.inc({"result": "refused"})
        return encode_refusal(refusal)
