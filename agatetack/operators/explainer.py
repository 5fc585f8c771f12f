"""Tell what all hosts did with a request."""

import trio
from returns.result import Failure, Result, Success
from thrift.protocol.TCompactProtocol import TCompactProtocolFactory
from thrift.TSerialization import deserialize, serialize

from agatetack.admission.controller import AttemptResult
from agatetack.attempts.single import ATTEMPT_RESULTS
from agatetack.clock import Clock, deadline_to_wall
from agatetack.generated.operators import ttypes
from agatetack.ids import Deadline, HostId, RequestId
from agatetack.messages import AttemptRecord
from agatetack.operators import refusals, request_views
from agatetack.operators.convert import (
    FieldProblems,
    from_thrift,
    to_thrift,
)
from agatetack.operators.rpc import READ_ERRORS
from agatetack.outcomes import Outcome
from agatetack.peers.exchange import Exchange, PeerUnreachable, Topic
from agatetack.serving.explain import Explanations, RequestNote

PROTOCOL = TCompactProtocolFactory()

SILENT_RETRY_MS = 1000
"""When to ask again after a peer did not answer."""


class Explainer:
    """Answers from this host's notes and asks its peers for theirs."""

    def __init__(
        self,
        host: HostId,
        notes: Explanations,
        exchange: Exchange,
        clock: Clock,
    ):
        """Serve peers' questions too."""
        self.host = host
        self.notes = notes
        self.exchange = exchange
        self.clock = clock
        exchange.serve(Topic.EXPLAIN, self._answer_peer)

    async def explain(
        self, request: RequestId, deadline: Deadline
    ) -> Result[
        request_views.Explanation, refusals.NotFound | refusals.Unavailable
    ]:
        """Return what all hosts that answer before `deadline` know."""
        found = self._own(request)
        silent: list[HostId] = []
        async with trio.open_nursery() as nursery:
            for peer in self.exchange.live_peers():
                nursery.start_soon(
                    self._ask, peer.id, request, deadline, found, silent
                )
        if not found and silent:
            return Failure(
                refusals.Unavailable(
                    refusals.UnavailableReason.PEER_UNREACHABLE,
                    f"{', '.join(sorted(silent))} did not answer, and no other"
                    " host remembers this request.",
                    SILENT_RETRY_MS,
                )
            )
        if not found:
            return Failure(
                refusals.NotFound(
                    refusals.Entity.REQUEST,
                    request,
                    "No host remembers this request.",
                )
            )
        found.sort(key=lambda each: each.arrived_unix_ms)
        return Success(request_views.Explanation(tuple(found), tuple(silent)))

    async def _ask(
        self,
        peer: HostId,
        request: RequestId,
        deadline: Deadline,
        found: list[request_views.ExplainedRequest],
        silent: list[HostId],
    ) -> None:
        try:
            reply = await self.exchange.call(
                peer, Topic.EXPLAIN, request.encode(), deadline
            )
            known = deserialize(ttypes.Explanation(), reply, PROTOCOL)
            explanation = from_thrift(
                known, request_views.Explanation, lenient=True
            )
        except (PeerUnreachable, FieldProblems, *READ_ERRORS):
            silent.append(peer)
            return
        found.extend(explanation.requests)

    async def _answer_peer(self, sender: HostId, payload: bytes) -> bytes:
        await trio.lowlevel.checkpoint()
        request = RequestId(payload.decode("utf-8", "replace"))
        known = request_views.Explanation(tuple(self._own(request)), ())
        return serialize(to_thrift(known, ttypes.Explanation), PROTOCOL)

    def _own(self, request: RequestId) -> list[request_views.ExplainedRequest]:
        return [self._view(note) for note in self.notes.find(request)]

    def _view(self, note: RequestNote) -> request_views.ExplainedRequest:
        refusal = note.refusal
        arrived = deadline_to_wall(self.clock, note.arrived)
        return request_views.ExplainedRequest(
            request_id=note.request_id,
            host_id=self.host,
            arrived_unix_ms=int(arrived * 1000),
            attempts=tuple(
                _attempt(each, note.arrived) for each in note.attempts
            ),
            route_id=note.route,
            service=note.service,
            outcome=Outcome.ANSWERED if refusal is None else refusal.outcome,
            reason=None if refusal is None else refusal.reason,
            detail=None if refusal is None else refusal.detail,
            status=note.status,
            finished_after_ms=_ms(note.finished - note.arrived),
        )


def _attempt(
    note: AttemptRecord, arrived: Deadline
) -> request_views.ExplainedAttempt:
    ended = None if note.ended is None else _ms(note.ended - arrived)
    return request_views.ExplainedAttempt(
        attempt_id=note.attempt,
        target_id=note.target,
        started_after_ms=_ms(note.started - arrived),
        ended_after_ms=ended,
        result=_result(note),
        failure=note.failure,
        retry_reason=note.retry_reason,
    )


def _result(note: AttemptRecord) -> AttemptResult | None:
    if note.ended is None:
        return None
    if note.cancelled:
        return AttemptResult.CANCELLED
    if note.failure is None:
        return AttemptResult.ANSWERED
    return ATTEMPT_RESULTS.get(note.failure, AttemptResult.FAILED)


def _ms(seconds: float) -> int:
    return max(0, round(seconds * 1000))
