"""Check what came of a trace against its stated outcomes.

Besides what a trace states, some things must hold in every trace: what was
refused as not run never ran, a key runs at most once, a body belongs to its
request and is whole, what was accepted to be run later is answered, nobody
waits beyond the deadline, a leaving target gets no new work after a few
seconds, and measuring keeps to its budget.
"""

import collections
import fnmatch
from collections.abc import Iterator

from agatetack.config.route import RequestClass
from agatetack.ids import LogOffset
from agatetack.outcomes import Outcome
from agatetack.testing.export_content import FIRST_ETAG, export_bytes
from agatetack.testing.fake_target import ExecutedRequest
from agatetack.testing.replay import NO_ANSWER, Replay, Reply
from agatetack.testing.trace import (
    Expect,
    ExpectChanges,
    ExpectTargets,
)

LEAVING_SECONDS = 3.0
"""After this time a leaving target gets no new work."""

LATE_SECONDS = 0.1
"""How late after its deadline a final answer may come."""

PROBE_BURST_SECONDS = 2.0
"""Seconds of the probes' budget that may be spent at once."""

EXPORT = "/export?bytes="


def check_replay(replay: Replay, name: str) -> list[str]:
    """Return what is not as stated; `name` stands before each finding."""
    findings = [f"{name}: {text}" for text in _check_always(replay)]
    for expectation in replay.fleet.trace.expectations:
        match expectation:
            case Expect():
                texts = _check_replies(replay, expectation)
            case ExpectTargets():
                texts = _check_targets(replay, expectation)
            case ExpectChanges():
                texts = _check_changes(replay, expectation)
        findings.extend(f"{name}:{expectation.line}: {text}" for text in texts)
    return findings


def outcome_of(reply: Reply, replay: Replay) -> Outcome:
    """Return what the caller was told became of the request."""
    header = replay.fleet.settings.callers.headers.outcome
    if header in reply.headers:
        return Outcome(reply.headers[header])
    if reply.status == NO_ANSWER:
        return Outcome.UNKNOWN
    return Outcome.ANSWERED


def _executed(replay: Replay) -> Iterator[ExecutedRequest]:
    for target in replay.fleet.targets.values():
        yield from target.executed


def _check_always(replay: Replay) -> Iterator[str]:
    runs = collections.Counter(run.request_id for run in _executed(replay))
    for reply in replay.replies:
        if outcome_of(reply, replay) is Outcome.NOT_RUN and runs[reply.name]:
            yield f"{reply.name} was refused as not run, and ran"
        late = reply.seconds - reply.arrivals.deadline_ms / 1000
        if late > LATE_SECONDS and not _may_be_late(reply, replay):
            yield f"{reply.name} ended {late:.3f} s after its deadline"
        if reply.ticket and outcome_of(reply, replay) is not Outcome.ANSWERED:
            yield f"{reply.name} was accepted and got {reply.status}"
        if reply.status in (200, 206) and not _body_fits(reply):
            yield f"{reply.name} got a body that is not its own"
    yield from _check_keys(replay)
    yield from _check_leaving(replay)
    yield from _check_probes(replay)


def _may_be_late(reply: Reply, replay: Replay) -> bool:
    """Return whether the deadline says nothing of the whole answer's end."""
    for route in replay.fleet.trace.routes:
        if reply.arrivals.path.startswith(route.path):
            return route.request_class in (
                RequestClass.WHOLE,
                RequestClass.DEFERRED,
            )
    return False


def _body_fits(reply: Reply) -> bool:
    line = reply.arrivals
    if line.path.startswith(EXPORT):
        etag = reply.headers.get("etag", "").encode() or FIRST_ETAG
        size = int(line.path.removeprefix(EXPORT))
        return reply.body == export_bytes(0, size, etag)
    echo = f"{line.method} {line.path} {reply.name}\n{line.body}"
    return reply.body == echo.encode()


def _check_keys(replay: Replay) -> Iterator[str]:
    runs = collections.Counter(run.key for run in _executed(replay) if run.key)
    for key, count in runs.items():
        if count > 1:
            yield f"key {key} ran {count} times"


def _check_leaving(replay: Replay) -> Iterator[str]:
    for span in replay.leaving:
        last = span.since + LEAVING_SECONDS
        runs = replay.fleet.targets[span.name].executed
        count = sum(last < run.started < span.until for run in runs)
        if count:
            yield f"{span.name} got {count} requests after it had left"


def _check_probes(replay: Replay) -> Iterator[str]:
    fleet = replay.fleet
    spent = sum(target.probes for target in fleet.targets.values())
    seconds = fleet.started + fleet.trace.about.seconds + PROBE_BURST_SECONDS
    allowed = fleet.settings.measure.probes_per_second * seconds
    if spent > allowed:
        yield f"{spent} probes were sent, {allowed:.0f} are in the budget"


def _check_replies(replay: Replay, wanted: Expect) -> Iterator[str]:
    replies = [
        reply
        for reply in replay.replies
        if fnmatch.fnmatchcase(reply.name, wanted.arrivals)
    ]
    if not replies:
        yield f"no request is named {wanted.arrivals}"
        return
    for reply in replies:
        yield from _check_reply(replay, wanted, reply)
    yield from _check_shares(replay, wanted, replies)


def _check_reply(replay: Replay, wanted: Expect, reply: Reply) -> Iterator[str]:
    outcome = outcome_of(reply, replay)
    reason = reply.headers.get(replay.fleet.settings.callers.headers.reason)
    told = f"{reply.status} {reason or ''} {reply.error}".strip()
    if wanted.statuses is not None and reply.status not in wanted.statuses:
        yield f"{reply.name} got {told}"
    if wanted.reasons is not None and reason is not None:
        allowed = [reason.value for reason in wanted.reasons]
        if reason not in allowed:
            yield f"{reply.name} got {told}"
    allowed_outcomes = (Outcome.ANSWERED, *(wanted.outcomes or Outcome))
    if outcome not in allowed_outcomes:
        yield f"{reply.name} was told {outcome.value}: {told}"


def _check_shares(
    replay: Replay, wanted: Expect, replies: list[Reply]
) -> Iterator[str]:
    answered = [
        reply
        for reply in replies
        if outcome_of(reply, replay) is Outcome.ANSWERED
    ]
    share = len(answered) / len(replies)
    least, most = wanted.answered_at_least, wanted.answered_at_most
    if least is not None and share < least:
        yield f"{share:.3f} of {wanted.arrivals} were answered, not {least}"
    if most is not None and share > most:
        yield f"{share:.3f} of {wanted.arrivals} were answered, not {most}"
    if wanted.within_ms is not None and answered:
        slow = [r for r in answered if r.seconds * 1000 > wanted.within_ms]
        slowest = max(reply.seconds for reply in answered) * 1000
        if len(slow) > wanted.slower_at_most * len(answered):
            yield (
                f"{len(slow)} of {len(answered)} {wanted.arrivals} took longer "
                f"than {wanted.within_ms} ms, up to {slowest:.0f} ms"
            )
    if wanted.executions_at_most is not None:
        names = {reply.name for reply in replies}
        runs = sum(run.request_id in names for run in _executed(replay))
        if runs > wanted.executions_at_most * len(replies):
            yield f"{wanted.arrivals} ran {runs} times for {len(replies)}"


def _check_targets(replay: Replay, wanted: ExpectTargets) -> Iterator[str]:
    fleet = replay.fleet
    targets = [fleet.targets[name] for name in wanted.names]
    since, until = fleet.started + wanted.since, fleet.started + wanted.until
    runs = sum(
        since <= run.started <= until
        for target in targets
        for run in target.executed
    )
    names = " ".join(wanted.names)
    least, most = wanted.executed_at_least, wanted.executed_at_most
    if least is not None and runs < least:
        yield f"{names} ran {runs}, not at least {least}"
    if most is not None and runs > most:
        yield f"{names} ran {runs}, not at most {most}"
    crashes = sum(target.crashes for target in targets)
    most = wanted.crashes_at_most
    if most is not None and crashes > most:
        yield f"{names} crashed {crashes} times, not at most {most}"


def _check_changes(replay: Replay, wanted: ExpectChanges) -> Iterator[str]:
    accepted = replay.accepted & set(wanted.names)
    if wanted.accepted is not None and len(accepted) != wanted.accepted:
        yield f"{len(accepted)} were accepted: {' '.join(sorted(accepted))}"
    if not wanted.in_force:
        return
    for change in replay.fleet.trace.events:
        if getattr(change, "name", None) not in accepted:
            continue
        routes = replay.fleet.versions(change.service)
        if len(routes) != 1:
            yield f"hosts differ about {change.service}"
            continue
        route = routes.pop()
        if route is None or route.version < LogOffset(0):
            yield f"no host has {change.service}"
        elif route.deadline_seconds != change.deadline_seconds:
            yield f"{change.name} was accepted and is not in force"
