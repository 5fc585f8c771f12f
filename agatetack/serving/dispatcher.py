"""Match each request to a route, check it, and run or refuse it."""

import abc
import dataclasses
from collections.abc import Callable
from typing import TYPE_CHECKING

import trio
from returns.result import Failure, Result

from agatetack.callers.problem import refusal_answer, refusal_status
from agatetack.callers.streamed_body import (
    BodyTooLarge,
    BoundedBody,
    StreamedBody,
    body_too_large_refusal,
)
from agatetack.config.route import (
    AlwaysCurrent,
    Currency,
    RequestClass,
    Route,
    RouteSource,
)
from agatetack.decisions import DecisionLog, Importance
from agatetack.ids import Deadline
from agatetack.lifecycle.in_flight import ServingEnd, stopping_refusal
from agatetack.logs import PartLog
from agatetack.messages import (
    Answer,
    CallerGone,
    CallerRequest,
    Handler,
    Header,
)
from agatetack.metrics import Metrics
from agatetack.outcomes import (
    Outcome,
    Refusal,
    RefusalReason,
    TicketRefusal,
    refuse,
)
from agatetack.quarantine.tracker import CrashTracker
from agatetack.serving.explain import Explanations
from agatetack.serving.split import Splitter
from agatetack.settings.model import Settings

if TYPE_CHECKING:
    from agatetack.identity.check import AccountCheck
    from agatetack.quotas.limiter import QuotaLimiter

RETRY_AFTER_STATUSES = frozenset({429, 503})
"""Statuses of refusals that always carry a Retry-After header."""

UNAUTHORIZED_STATUS = 401
CHALLENGE = Header(b"www-authenticate", b"Bearer")
"""The header that each answer with status 401 has to have (RFC 9110)."""

MAX_CURRENCY_WAIT_SECONDS = 0.3
"""Longest time that a request waits for the newest configuration. A host that
stood still has it within a few turns of its event loop, and one that was told
of a newer one fetches or reads it."""

CURRENCY_POLL_SECONDS = 0.01
"""Interval at which a request that waits for it looks."""

MIN_FAILURE_STATUS = 500
"""The lowest status that counts as a failure of the target."""

log = PartLog("serving")
decisions = DecisionLog("serving")


class ClassRunner(abc.ABC):
    """Runs the requests of one request class."""

    @abc.abstractmethod
    async def run(
        self, route: Route, request: CallerRequest
    ) -> Result[Answer, Refusal]:
        """Return the answer, or the refusal if there is none."""


class Dispatcher(Handler):
    """Answers every request to a host, also while the host drains."""

    def __init__(
        self,
        settings: Settings,
        routes: RouteSource,
        runners: dict[RequestClass, ClassRunner],
        tickets: Handler | None,
        crashes: CrashTracker,
        explanations: Explanations,
        metrics: Metrics,
        accepting: Callable[[], bool] = lambda: True,
        accounts: "AccountCheck | None" = None,
        quotas: "QuotaLimiter | None" = None,
        serving_end: ServingEnd | None = None,
        currency: Currency | None = None,
    ):
        """Run the requests of each class with its runner.

        Args:
            settings: The host's settings.
            routes: The routes in force.
            runners: One runner for each class.
            tickets: Answers polls for deferred requests; None if not offered.
            crashes: Refuses requests that are suspected of crashing targets.
            explanations: Records how and why the latest requests ended.
            metrics: The host's counters.
            accepting: Whether new requests are accepted; late in a drain they
                are refused, so that they can't delay its end.
            accounts: Identifies client accounts; none if None.
            quotas: Limits the requests of accounts; not limited if None.
            serving_end: Refuses requests that wait as the host stops; none are
                refused if None.
            currency: Tells whether the routes in force are the newest ones;
                they always are if None.
        """
        self.currency = currency or AlwaysCurrent()
        self.serving_end = serving_end or ServingEnd()
        self.accounts = accounts
        self.quotas = quotas
        self.accepting = accepting
        self.splitter = Splitter()
        self.settings = settings
        self.routes = routes
        self.runners = runners
        self.tickets = tickets
        self.crashes = crashes
        self.explanations = explanations
        self.metrics = metrics
        self.names = settings.callers.headers
        self.ticket_prefix = settings.callers.ticket_path.encode()
        self.request_id_name = self.names.request_id.encode()

    async def handle(self, request: CallerRequest) -> Answer:
        """Return the target's answer or a refusal."""
        route = None
        try:
            if self._is_for_tickets(request):
                return await self.tickets.handle(request)
            found = await self._find_current_route(request)
            if isinstance(found, Refusal):
                return self._refuse(
                    None, request, _with_unknown_outcome(request, found)
                )
            route = self.splitter.choose(found)
            result = await self._run_until_stopped(route, request)
            # The caller may take its answer slowly.
            request.body.forget()
        except (CallerGone, trio.Cancelled):
            # There is no caller to answer. The connection counts the refusal.
            self._finish(route, request, Importance.FAILED, "caller-gone")
            raise
        except BodyTooLarge as error:
            return self._refuse(route, request, error.refusal())
        except Exception as error:
            log.error("[%s] failed: %r.", request.request_id, error)
            refusal = refuse(
                RefusalReason.INTERNAL_ERROR, "agatetack itself failed."
            )
            return self._refuse(route, request, refusal)
        if isinstance(result, Failure):
            return self._refuse(route, request, result.failure())
        return self._finish_answer(route, request, result.unwrap())

    async def run_forwarded(
        self, request: CallerRequest
    ) -> Result[Answer, Refusal]:
        """Run a request that another host passed to this one.

        That host answers the caller, also with a refusal.
        """
        found = await self._find_current_route(request)
        if isinstance(found, Refusal):
            result = Failure(_with_unknown_outcome(request, found))
            self._finish_forwarded(None, request, result)
            return result
        route = self.splitter.choose(found)
        try:
            result = await self._run_until_stopped(route, request)
        except trio.Cancelled:
            self._finish(route, request, Importance.FAILED, "caller-gone")
            raise
        except Exception as error:
            log.error("[%s] failed: %r.", request.request_id, error)
            result = Failure(
                refuse(RefusalReason.INTERNAL_ERROR, "agatetack itself failed.")
            )
        self._finish_forwarded(route, request, result)
        return result

    def _finish_forwarded(
        self,
        route: Route | None,
        request: CallerRequest,
        result: Result[Answer, Refusal],
    ) -> None:
        if isinstance(result, Failure):
            importance = Importance.FAILED
            outcome = result.failure().reason.value
        else:
            importance, outcome = Importance.USUAL, "answered"
        self._finish(route, request, importance, outcome, forwarded=True)

    def _is_for_tickets(self, request: CallerRequest) -> bool:
        if self.tickets is None:
            return False
        return request.path.startswith(self.ticket_prefix)

    async def _find_current_route(
        self, request: CallerRequest
    ) -> Route | Refusal:
        """Return the route by the newest configuration, or a refusal.

        A host that lacks it waits for it briefly. It doesn't tell callers then
        that there is no route, which they would take for final.
        """
        now = trio.current_time()
        until = min(request.deadline, now + MAX_CURRENCY_WAIT_SECONDS)
        while self.currency.is_old and trio.current_time() < until:
            await trio.sleep(CURRENCY_POLL_SECONDS)
        found = self._find_route(request)
        while _is_unknown(found) and self.currency.may_lack_routes:
            if trio.current_time() >= until:
                return refuse(
                    RefusalReason.NO_CONFIGURATION,
                    "This host may lack the newest configuration.",
                    self._default_retry_at(),
                )
            await trio.sleep(CURRENCY_POLL_SECONDS)
            found = self._find_route(request)
        return found

    def _find_route(self, request: CallerRequest) -> Route | Refusal:
        if not self.accepting():
            return refuse(
                RefusalReason.SHUTTING_DOWN,
                "This host is leaving; ask again on a new connection.",
                self._default_retry_at(),
            )
        table = self.routes.table
        if table is None:
            return refuse(
                RefusalReason.NO_CONFIGURATION,
                "This host has no configuration yet.",
                self._default_retry_at(),
            )
        route = table.match(
            request.host.decode("latin-1"), request.path.decode("latin-1")
        )
        if route is None:
            return refuse(
                RefusalReason.NO_ROUTE, "No route takes this host and path."
            )
        return route

    def _default_retry_at(self) -> Deadline:
        seconds = self.settings.admission.retry_after_seconds
        return Deadline(trio.current_time() + seconds)

    async def _run_until_stopped(
        self, route: Route, request: CallerRequest
    ) -> Result[Answer, Refusal]:
        """Run a request, but refuse it if it waits as the host stops."""
        if route.request_class is RequestClass.DEFERRED:
            # It may be accepted already, and its caller waits briefly.
            return await self._run(route, request)
        with self.serving_end.track(request):
            return await self._run(route, request)
        refusal = stopping_refusal(request)
        if route.request_class is RequestClass.ONCE:
            refusal = _with_unknown_outcome(request, refusal)
        if (
            refusal.outcome is Outcome.NOT_RUN
            and request.account is not None
            and self.quotas is not None
        ):
            self.quotas.refund(request.account)
        return Failure(refusal)

    async def _run(
        self, route: Route, request: CallerRequest
    ) -> Result[Answer, Refusal]:
        self.metrics.requests.inc({"route": route.id})
        refusal = self._check(route, request)
        if refusal is not None:
            if route.request_class is RequestClass.ONCE:
                refusal = _with_unknown_outcome(request, refusal)
            return Failure(refusal)
        runner = self.runners[route.request_class]
        if request.account is None or self.quotas is None:
            return await runner.run(route, request)
        return await self._run_within_quota(runner, route, request)

    async def _run_within_quota(
        self, runner: ClassRunner, route: Route, request: CallerRequest
    ) -> Result[Answer, Refusal]:
        retry_at = self.quotas.admit(request.account, request.returning)
        if retry_at is not None:
            refusal = refuse(
                RefusalReason.QUOTA_EXCEEDED,
                "The client account's quota is used up.",
                retry_at,
            )
            return Failure(_with_unknown_outcome(request, refusal))
        result = await runner.run(route, request)
        if (
            isinstance(result, Failure)
            and result.failure().outcome is Outcome.NOT_RUN
        ):
            self.quotas.refund(request.account)
        return result

    def _check(self, route: Route, request: CallerRequest) -> Refusal | None:
        if self.accounts is not None and not request.forwarded:
            # The host that passed it on has identified its account.
            refusal = self.accounts.identify(route, request)
            if refusal is not None:
                return refusal
        if not request.deadline_given:
            request.deadline = Deadline(
                request.arrived + route.deadline_seconds
            )
        if route.timeout_seconds:
            # The operator's upper limit on the time that any caller waits.
            latest = Deadline(request.arrived + route.timeout_seconds)
            request.deadline = min(request.deadline, latest)
        length = request.body.length
        if length is not None and length > route.max_body_bytes:
            return body_too_large_refusal(route.max_body_bytes)
        if isinstance(request.body, StreamedBody):
            request.body.limit(route.max_body_bytes)
        elif length is None:
            request.body = BoundedBody(request.body, route.max_body_bytes)
        if trio.current_time() >= request.deadline:
            return refuse(
                RefusalReason.CANNOT_MEET_DEADLINE, "The deadline has passed."
            )
        return self.crashes.check(route, request)

    def _refuse(
        self, route: Route | None, request: CallerRequest, refusal: Refusal
    ) -> Answer:
        status = refusal_status(refusal, self.settings.callers)
        if status in RETRY_AFTER_STATUSES and refusal.retry_at is None:
            refusal = dataclasses.replace(
                refusal, retry_at=self._default_retry_at()
            )
        route_id = None if route is None else route.id
        self.metrics.refused(route_id, refusal.reason)
        self.explanations.note(request, route, status, refusal)
        self._finish(
            route,
            request,
            Importance.FAILED,
            refusal.reason.value,
            status=status,
            ran=refusal.outcome.value,
            detail=refusal.detail,
        )
        callers = self.settings.callers
        answer = refusal_answer(refusal, request.request_id, callers)
        if status == UNAUTHORIZED_STATUS:
            answer.headers.append(CHALLENGE)
        if isinstance(refusal, TicketRefusal):
            name = self.names.ticket.encode()
            answer.headers.append(Header(name, refusal.ticket.encode()))
        return answer

    def _finish_answer(
        self, route: Route, request: CallerRequest, answer: Answer
    ) -> Answer:
        seconds = trio.current_time() - request.arrived
        self.metrics.answered(route.id, seconds)
        self.explanations.note(request, route, answer.status)
        answer.route = route.id
        name = self.request_id_name
        answer.headers.append(Header(name, request.request_id.encode()))
        self._finish(
            route,
            request,
            _importance(route, request, answer, seconds),
            "answered",
            status=answer.status,
        )
        return answer

    def _finish(
        self,
        route: Route | None,
        request: CallerRequest,
        importance: Importance,
        outcome: str,
        **fields: object,
    ) -> None:
        """Log how a request ended and the decisions made about it."""
        now = trio.current_time()
        decisions.finish(
            request.decision_trace,
            importance,
            request.request_id,
            outcome=outcome,
            route=None if route is None else route.id,
            service=None if route is None else route.service,
            attempts=len(request.attempts),
            took_ms=round((now - request.arrived) * 1000, 1),
            left_ms=round((request.deadline - now) * 1000, 1),
            **fields,
        )


def _is_unknown(found: Route | Refusal) -> bool:
    return isinstance(found, Refusal) and found.reason is RefusalReason.NO_ROUTE


def _importance(
    route: Route, request: CallerRequest, answer: Answer, seconds: float
) -> Importance:
    """Return whether to log all decisions on an answered request."""
    latency_goal_seconds = route.target_latency_seconds
    late = latency_goal_seconds and seconds > latency_goal_seconds
    if late or answer.status >= MIN_FAILURE_STATUS or len(request.attempts) > 1:
        return Importance.FAILED
    return Importance.USUAL


def _with_unknown_outcome(request: CallerRequest, refusal: Refusal) -> Refusal:
    """Set a refusal's outcome to unknown if the request has a key.

    The refusal is made before the key's claim is looked up, so an earlier
    attempt with the same key may have run. A caller that reads "not run"
    might repeat the request with a new key.
    """
    if request.key is None:
        return refusal
    return dataclasses.replace(refusal, outcome=Outcome.UNKNOWN)
