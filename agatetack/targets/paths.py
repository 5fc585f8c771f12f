"""Track which targets this host can reach itself.

A host that can't connect to a target knows only that its own path is lost. The
target may be gone, or the path alone; reports of other hosts tell the two
apart.
"""

import dataclasses
import enum
from collections.abc import Callable, Sequence

import trio

from agatetack.decisions import DecisionLog
from agatetack.ids import Deadline, ProcessId, ServiceId
from agatetack.metrics import Metrics
from agatetack.targets.state import TargetState

MIN_SILENT_TARGETS = 3
"""Number of targets that have to be silent, with no byte from any other, before
the first silence of each of them counts."""

MIN_SILENCES = 2
"""Number of silences of one target that count for themselves."""

ASK_INTERVAL_SECONDS = 0.5
"""Minimum time between two requests to other hosts to look at a target that
stays silent."""

EVIDENCE_MARGIN_SECONDS = 0.1
"""How much younger than a refused connection another host's report has to be.
The time that its message took is not known."""

decisions = DecisionLog("targets")


class PathFailure(enum.Enum):
    """Why a path to a target counts as lost."""

    REFUSED = "refused"
    SILENT = "silent"


FIRST_LOOK_SECONDS = {PathFailure.REFUSED: 0.5, PathFailure.SILENT: 0.0}
"""Time from the loss of a path to the first look whether it is back. A target
that was only slow to answer is back at once."""


@dataclasses.dataclass(slots=True)
class LostPath:
    """The path to a target that this host can't reach.

    Attributes:
        target: The target.
        why: How the path was found to be lost.
        since: When it was found to be lost.
        look_at: When to look next whether it is back.
    """

    target: TargetState
    why: PathFailure
    since: Deadline
    look_at: Deadline


@dataclasses.dataclass(slots=True)
class Silence:
    """Attempts, connects and probes of a target that got no byte.

    Attributes:
        target: The target.
        since: When the first of them failed.
        count: How many there were since the last byte.
        ask_at: When other hosts may be asked again to look; None before they
            were asked, as until then no report of theirs counts.
    """

    target: TargetState
    since: Deadline
    count: int = 0
    ask_at: Deadline | None = None


class TargetPaths:
    """The lost paths of this host.

    Attributes:
        lost: The lost paths, by target process.
        silences: Targets that were silent and are not lost yet.
        heard_at: When a byte arrived from any target.
        watchers: Called with a target whose path was lost or is back.
        doubt_watchers: Called with silent targets, so that other hosts can
            find out whether they reach them.
    """

    def __init__(
        self, metrics: Metrics, is_known: Callable[[TargetState], bool]
    ):
        """Start with all paths in order.

        Args:
            metrics: Where lost paths and failures are counted.
            is_known: Returns whether a target is still in use; others are
                forgotten, though attempts at them may still fail.
        """
        self.is_known = is_known
        self.lost: dict[ProcessId, LostPath] = {}
        self.silences: dict[ProcessId, Silence] = {}
        self.heard_at = Deadline(float("-inf"))
        self.watchers: list[Callable[[TargetState], None]] = []
        self.doubt_watchers: list[Callable[[Sequence[TargetState]], None]] = []
        self.lost_gauge = metrics.gauge(
            "agatetack_paths_lost",
            "Targets that this host can't reach itself, by service.",
        )
        self.failures = metrics.counter(
            "agatetack_path_failures_total",
            "Times that a path to a target was found lost, by reason.",
        )
        for reason in PathFailure:
            self.failures.add({"reason": reason.value}, 0)

    def is_lost(self, target: TargetState) -> bool:
        """Return whether this host can't reach `target`."""
        return target.process in self.lost

    def note_refused(self, target: TargetState) -> bool:
        """Record a refused connection; return whether that is new."""
        if self.is_lost(target):
            return False
        if self.is_known(target):
            self._lose(target, PathFailure.REFUSED)
        return True

    def note_silence(self, target: TargetState) -> None:
        """Record that `target` sent no byte in time.

        It may be slow or stopped, or this host late. Only if another host
        hears it meanwhile is the path lost.
        """
        if self.is_lost(target) or not self.is_known(target):
            return
        now = Deadline(trio.current_time())
        silence = self.silences.get(target.process)
        if silence is None:
            silence = self.silences[target.process] = Silence(target, now)
        silence.count += 1
        doubted = [silence] if silence.count >= MIN_SILENCES else []
        recent = [s for s in self.silences.values() if s.since > self.heard_at]
        if len(recent) >= MIN_SILENT_TARGETS:
            doubted = recent
        unasked = [
            each
            for each in doubted
            if each.ask_at is None or now >= each.ask_at
        ]
        for each in unasked:
            each.ask_at = Deadline(now + ASK_INTERVAL_SECONDS)
        if unasked:
            for watcher in self.doubt_watchers:
                watcher([each.target for each in unasked])

    def note_heard(self, target: TargetState) -> None:
        """Record that bytes of `target` arrived at this host.

        On a connection that was open before, they don't show that a target
        which refused a new one accepts it now.
        """
        self.heard_at = Deadline(trio.current_time())
        self.silences.pop(target.process, None)
        path = self.lost.get(target.process)
        if path is not None and path.why is PathFailure.SILENT:
            self._restore(path)

    def note_connected(self, target: TargetState) -> None:
        """Record that `target` answered on a new connection."""
        self.note_heard(target)
        path = self.lost.get(target.process)
        if path is not None:
            self._restore(path)

    def _restore(self, path: LostPath) -> None:
        target = path.target
        del self.lost[target.process]
        decisions.note(
            "path-back",
            target=target.id,
            service=target.service,
            lost_ms=round((self.heard_at - path.since) * 1000),
        )
        # What ended for one path has probably ended for the others.
        for other in self.lost.values():
            other.look_at = min(other.look_at, self.heard_at)
        self._changed(target)

    def note_heard_elsewhere(self, target: TargetState, at: Deadline) -> None:
        """Record that another host had a report of `target` at `at`."""
        silence = self.silences.get(target.process)
        if silence is None or silence.ask_at is None:
            return
        if at > silence.since:
            self._lose(target, PathFailure.SILENT)

    def forget(self, target: TargetState) -> None:
        """Forget a target that is gone."""
        self.silences.pop(target.process, None)
        if self.lost.pop(target.process, None) is not None:
            self._changed(target)

    def lost_of(self, service: ServiceId) -> int:
        """Return how many targets of `service` this host can't reach."""
        return sum(p.target.service == service for p in self.lost.values())

    def _lose(self, target: TargetState, why: PathFailure) -> None:
        self.silences.pop(target.process, None)
        now = Deadline(trio.current_time())
        look_at = Deadline(now + FIRST_LOOK_SECONDS[why])
        self.lost[target.process] = LostPath(target, why, now, look_at)
        self.failures.inc({"reason": why.value})
        decisions.note(
            "path-lost",
            target=target.id,
            service=target.service,
            why=why.value,
            lost=len(self.lost),
        )
        self._changed(target)

    def _changed(self, target: TargetState) -> None:
        self.lost_gauge.set(
            {"service": target.service}, self.lost_of(target.service)
        )
        for watcher in self.watchers:
            watcher(target)
