"""Track the attempts of one idempotent request."""

import dataclasses

import trio

from agatetack.admission.controller import Priority
from agatetack.attempts.hedger import LateTimer
from agatetack.config.route import Route
from agatetack.ids import TargetId
from agatetack.messages import Answer, CallerRequest
from agatetack.outcomes import Outcome, Refusal
from agatetack.targets.client import AttemptFailure


@dataclasses.dataclass(slots=True)
class SecondAttempt:
    """A second attempt that is in progress.

    Attributes:
        scope: Cancels it.
        done: Set when it has ended.
    """

    scope: trio.CancelScope = dataclasses.field(
        default_factory=trio.CancelScope
    )
    done: trio.Event = dataclasses.field(default_factory=trio.Event)


@dataclasses.dataclass(slots=True)
class RaceState:
    """Progress of one request's attempts.

    Attributes:
        route: The request's route.
        request: The request.
        priority: The request's priority among waiting requests.
        started: Attempts started, without those that failed unsent.
        open: Attempts in progress.
        tried: Targets chosen for an attempt, which later ones avoid.
        answer: The first answer, or None.
        refusal: Why no permit was granted, or None.
        failure: The last attempt's failure, or None.
        may_have_run: Whether a target may have run any failed attempt.
        second: The second attempt in progress, or None.
        timer: Starts a second attempt; None if none is allowed.
        sequence_scope: Cancels the first attempt and its retries.
        over: Whether the request has ended, so that answers are discarded.
    """

    route: Route
    request: CallerRequest
    priority: Priority
    started: int = 0
    open: int = 0
    tried: set[TargetId] = dataclasses.field(default_factory=set)
    answer: Answer | None = None
    refusal: Refusal | None = None
    failure: AttemptFailure | None = None
    may_have_run: bool = False
    second: SecondAttempt | None = None
    timer: LateTimer | None = None
    sequence_scope: trio.CancelScope = dataclasses.field(
        default_factory=trio.CancelScope
    )
    over: bool = False

    def needs_second(self) -> bool:
        """Return whether one attempt is in progress and none answered."""
        return self.open == 1 and self.answer is None and not self.over

    def note_failure(self, failure: AttemptFailure) -> None:
        """Record the failure of one attempt."""
        self.failure = failure
        self.may_have_run |= failure.outcome is not Outcome.NOT_RUN
