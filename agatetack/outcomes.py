"""Define the possible outcomes of a request and the reasons for them.

Every answer that is not the target's own carries one `Outcome` and one
`RefusalReason`. One table here gives the HTTP status and outcome of each
reason, so that the server for callers, the metrics and the docs agree.
"""

import dataclasses
import enum

from agatetack.ids import Deadline, TicketId


class Outcome(enum.Enum):
    """Whether a request ran."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RefusalReason(enum.Enum):
    """Why a caller got an answer that is not the target's own."""

    MALFORMED_REQUEST = "malformed-request"
    NO_ROUTE = "no-route"
    CREDENTIALS_UNKNOWN = "credentials-unknown"
    CONFIGURATION_UNPROVEN = "configuration-unproven"
    QUOTA_EXCEEDED = "quota-exceeded"
    OVERLOADED = "overloaded"
    MEMORY_SHORT = "memory-short"
    BODY_TOO_LARGE = "body-too-large"
    HEADERS_TOO_LARGE = "headers-too-large"
    DEADLINE_INVALID = "deadline-invalid"
    NO_CONFIGURATION = "no-configuration"
    SHUTTING_DOWN = "shutting-down"
    RATE_LIMITED = "rate-limited"
    QUEUE_FULL = "queue-full"
    CANNOT_MEET_DEADLINE = "cannot-meet-deadline"
    DEADLINE_EXCEEDED_IN_QUEUE = "deadline-exceeded-in-queue"
    NO_TARGET = "no-target"
    QUARANTINED = "quarantined"
    CONNECT_FAILED = "connect-failed"
    SHED_BY_TARGET = "shed-by-target"
    TARGET_UNWILLING = "target-unwilling"
    LOG_UNAVAILABLE = "log-unavailable"
    KEY_MISSING = "key-missing"
    KEY_MALFORMED = "key-malformed"
    KEY_REUSED = "key-reused"
    KEY_EXPIRED = "key-expired"
    KEY_IN_PROGRESS = "key-in-progress"
    KEY_OUTCOME_UNKNOWN = "key-outcome-unknown"
    KEY_ALREADY_DONE = "key-already-done"
    KEY_STORE_FULL = "key-store-full"
    CLAIM_IN_DOUBT = "claim-in-doubt"
    ANSWER_TIMEOUT = "answer-timeout"
    CONNECTION_LOST = "connection-lost"
    ANSWER_MALFORMED = "answer-malformed"
    ANSWER_CUT = "answer-cut"
    TICKET_UNKNOWN = "ticket-unknown"
    TICKET_EXPIRED = "ticket-expired"
    TICKET_IN_DOUBT = "ticket-in-doubt"
    RESULT_TOO_LARGE = "result-too-large"
    CALLER_GONE = "caller-gone"
    INTERNAL_ERROR = "internal-error"


class RetryReason(enum.Enum):
    """Why another attempt of a request was made."""

    CONNECT_FAILED = "connect-failed"
    SHED_BY_TARGET = "shed-by-target"
    TARGET_UNWILLING = "target-unwilling"
    CONNECTION_LOST = "connection-lost"
    ANSWER_TIMEOUT = "answer-timeout"
    ANSWER_MALFORMED = "answer-malformed"
    ANSWER_CUT = "answer-cut"
    HEDGE = "hedge"
    STALLED = "stalled"
    RESUME = "resume"


@dataclasses.dataclass(frozen=True, slots=True)
class ReasonRule:
    """The HTTP status and the usual outcome of a refusal reason."""

    status: int
    outcome: Outcome


REASON_RULES: dict[RefusalReason, ReasonRule] = {
    RefusalReason.MALFORMED_REQUEST: ReasonRule(400, Outcome.NOT_RUN),
    RefusalReason.NO_ROUTE: ReasonRule(404, Outcome.NOT_RUN),
    RefusalReason.CREDENTIALS_UNKNOWN: ReasonRule(401, Outcome.NOT_RUN),
    RefusalReason.CONFIGURATION_UNPROVEN: ReasonRule(503, Outcome.NOT_RUN),
    RefusalReason.QUOTA_EXCEEDED: ReasonRule(429, Outcome.NOT_RUN),
    RefusalReason.OVERLOADED: ReasonRule(503, Outcome.NOT_RUN),
    RefusalReason.MEMORY_SHORT: ReasonRule(503, Outcome.NOT_RUN),
    RefusalReason.BODY_TOO_LARGE: ReasonRule(413, Outcome.NOT_RUN),
    RefusalReason.HEADERS_TOO_LARGE: ReasonRule(431, Outcome.NOT_RUN),
    RefusalReason.DEADLINE_INVALID: ReasonRule(400, Outcome.NOT_RUN),
    RefusalReason.NO_CONFIGURATION: ReasonRule(503, Outcome.NOT_RUN),
    RefusalReason.SHUTTING_DOWN: ReasonRule(503, Outcome.NOT_RUN),
    RefusalReason.RATE_LIMITED: ReasonRule(429, Outcome.NOT_RUN),
    RefusalReason.QUEUE_FULL: ReasonRule(503, Outcome.NOT_RUN),
    RefusalReason.CANNOT_MEET_DEADLINE: ReasonRule(503, Outcome.NOT_RUN),
    RefusalReason.DEADLINE_EXCEEDED_IN_QUEUE: ReasonRule(504, Outcome.NOT_RUN),
    RefusalReason.NO_TARGET: ReasonRule(503, Outcome.NOT_RUN),
    RefusalReason.QUARANTINED: ReasonRule(422, Outcome.NOT_RUN),
    RefusalReason.CONNECT_FAILED: ReasonRule(502, Outcome.NOT_RUN),
    RefusalReason.SHED_BY_TARGET: ReasonRule(503, Outcome.NOT_RUN),
    RefusalReason.TARGET_UNWILLING: ReasonRule(503, Outcome.NOT_RUN),
    RefusalReason.LOG_UNAVAILABLE: ReasonRule(503, Outcome.NOT_RUN),
    RefusalReason.KEY_MISSING: ReasonRule(400, Outcome.NOT_RUN),
    RefusalReason.KEY_MALFORMED: ReasonRule(400, Outcome.NOT_RUN),
    RefusalReason.KEY_REUSED: ReasonRule(422, Outcome.UNKNOWN),
    RefusalReason.KEY_EXPIRED: ReasonRule(409, Outcome.UNKNOWN),
    RefusalReason.KEY_IN_PROGRESS: ReasonRule(409, Outcome.UNKNOWN),
    RefusalReason.KEY_OUTCOME_UNKNOWN: ReasonRule(409, Outcome.UNKNOWN),
    RefusalReason.KEY_ALREADY_DONE: ReasonRule(409, Outcome.ANSWERED),
    RefusalReason.KEY_STORE_FULL: ReasonRule(503, Outcome.NOT_RUN),
    RefusalReason.CLAIM_IN_DOUBT: ReasonRule(504, Outcome.UNKNOWN),
    RefusalReason.ANSWER_TIMEOUT: ReasonRule(504, Outcome.UNKNOWN),
    RefusalReason.CONNECTION_LOST: ReasonRule(502, Outcome.UNKNOWN),
    RefusalReason.ANSWER_MALFORMED: ReasonRule(502, Outcome.UNKNOWN),
    RefusalReason.ANSWER_CUT: ReasonRule(502, Outcome.UNKNOWN),
    RefusalReason.TICKET_UNKNOWN: ReasonRule(404, Outcome.UNKNOWN),
    RefusalReason.TICKET_EXPIRED: ReasonRule(410, Outcome.UNKNOWN),
    RefusalReason.TICKET_IN_DOUBT: ReasonRule(504, Outcome.UNKNOWN),
    RefusalReason.RESULT_TOO_LARGE: ReasonRule(502, Outcome.UNKNOWN),
    RefusalReason.CALLER_GONE: ReasonRule(499, Outcome.UNKNOWN),
    RefusalReason.INTERNAL_ERROR: ReasonRule(500, Outcome.UNKNOWN),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """An answer from agatetack itself instead of a target.

    Attributes:
        reason: The reason; also the counter's label.
        detail: One sentence for people; it must not contain secrets.
        outcome: Whether the request ran. It differs from the reason's rule
            only if, after an earlier attempt, "not run" could be untrue.
        retry_at: When the caller may retry, or None.
    """

    reason: RefusalReason
    detail: str
    outcome: Outcome
    retry_at: Deadline | None = None

    @property
    def status(self) -> int:
        """Return the HTTP status of this refusal."""
        return REASON_RULES[self.reason].status


@dataclasses.dataclass(frozen=True, slots=True)
class TicketRefusal(Refusal):
    """A refusal about a ticket that the caller may continue to poll.

    Attributes:
        ticket: Value of the ticket header that is sent with the refusal.
    """

    ticket: TicketId = TicketId("")


NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses from which callers conclude that the request did not run."""

UNKNOWN_OUTCOME_STATUS = 502


def status_for_outcome(status: int, outcome: Outcome) -> int:
    """Return `status`, or 502 if it would wrongly say that nothing ran."""
    if outcome is Outcome.NOT_RUN or status not in NOT_RUN_STATUSES:
        return status
    return UNKNOWN_OUTCOME_STATUS


def refuse(
    reason: RefusalReason, detail: str, retry_at: Deadline | None = None
) -> Refusal:
    """Return a refusal whose outcome is the reason's usual one."""
    return Refusal(reason, detail, REASON_RULES[reason].outcome, retry_at)
