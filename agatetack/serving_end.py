"""End the waits of requests when their host stops.

A host that stops has to answer each request that it has read before its process
ends. A request that waits when no time is left to serve it is refused while its
refusal can still be written.
"""

import dataclasses
import math
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import trio

from agatetack.ids import Deadline
from agatetack.messages import AttemptRecord, CallerRequest
from agatetack.outcomes import (
    REASON_RULES,
    Outcome,
    Refusal,
    RefusalReason,
)


@dataclasses.dataclass(slots=True, eq=False)
class TrackedRequest:
    """A request that has no answer yet.

    Attributes:
        request: The request.
        scope: Cancels what runs for it.
    """

    request: CallerRequest
    scope: trio.CancelScope = dataclasses.field(
        default_factory=trio.CancelScope
    )

    @property
    def waits(self) -> bool:
        """Return whether neither a target nor another host has it now."""
        if self.request.at_peer:
            return False
        return all(_has_failed(each) for each in self.request.attempts)


class ServingEnd:
    """Tells until when this host serves requests, and refuses the rest.

    Attributes:
        until: When the last answer has to have come from a target; infinite
            unless the host stops.
        watchers: Called once `until` is known.
        tracked: The requests that have no answer yet.
    """

    def __init__(self) -> None:
        """Start without an end."""
        self.until = Deadline(math.inf)
        self.watchers: list[Callable[[], None]] = []
        self.tracked: dict[TrackedRequest, None] = {}

    def begin(self, until: Deadline) -> None:
        """Serve no request that would be answered later than `until`."""
        self.until = until
        for watcher in self.watchers:
            watcher()

    @contextmanager
    def track(self, request: CallerRequest) -> Iterator[None]:
        """Leave the `with` block early if `request` has to be refused."""
        tracked = TrackedRequest(request)
        self.tracked[tracked] = None
        try:
            with tracked.scope:
                yield
        finally:
            del self.tracked[tracked]

    def refuse_waiting(self) -> None:
        """Refuse the requests that neither a target nor another host has."""
        for tracked in list(self.tracked):
            if tracked.waits:
                tracked.scope.cancel()

    def refuse_forwarded(self) -> None:
        """Refuse the requests that another host has not answered yet."""
        for tracked in list(self.tracked):
            if tracked.request.at_peer:
                tracked.scope.cancel()


def stopping_refusal(request: CallerRequest) -> Refusal:
    """Return the refusal of a request that its host can't serve any more.

    Its caller need not wait: other hosts take the request at once.
    """
    may_have_run = request.lost_at_peer or any(
        not _is_not_run(each) for each in request.attempts
    )
    return Refusal(
        RefusalReason.SHUTTING_DOWN,
        "This host is leaving and can't serve the request in time.",
        Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN,
        Deadline(trio.current_time()),
    )


def _has_failed(record: AttemptRecord) -> bool:
    return record.failure is not None or record.cancelled


def _is_not_run(record: AttemptRecord) -> bool:
    if record.failure is None:
        return False
    return REASON_RULES[record.failure].outcome is Outcome.NOT_RUN
