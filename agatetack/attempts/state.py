"""Hold how far one idempotent request's attempts have come."""

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
    """A second attempt that is under way.

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
    """How far one request's attempts have come.

    Attributes:
        route: The request's route.
        request: The request.
        priority: Which waiting requests go first.
        started: Attempts begun.
        open: Attempts under way.
        tried: Targets that have had the request.
        answer: The first answer, or None.
        refusal: Why no permit was got, or None.
        failure: The last attempt's failure, or None.
        may_have_run: Whether any attempt can have run.
        second: The second attempt under way, or None.
        timer: Starts a second attempt, or None if there must be none.
        in_turn: Cancels the attempts that are made in turn.
        over: Whether a later answer is of no more use.
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
    in_turn: trio.CancelScope = dataclasses.field(
        default_factory=trio.CancelScope
    )
    over: bool = False

    def needs_second(self) -> bool:
        """Return whether just one attempt is under way and none answered."""
        return self.open == 1 and self.answer is None and not self.over

    def note_failure(self, failure: AttemptFailure) -> None:
        """Take the failure of one attempt."""
        self.failure = failure
        self.may_have_run |= failure.outcome is not Outcome.NOT_RUN
