"""Define traces: what happens to a fleet, and what must come of it.

A trace is a file of JSON lines. Times are in seconds from the moment when all
gateways are ready. `traces/README.md` describes each kind of line.
"""

import enum
import pathlib
from typing import Annotated, Any, Literal

import pydantic

from agatetack.config.route import RequestClass
from agatetack.errors import UserError
from agatetack.outcomes import Outcome, RefusalReason
from agatetack.testing.memory_log import AppendFault

At = Annotated[float, pydantic.Field(ge=0)]
ALL = 0
"""The gateway number that stands for all of them, or for each in turn."""


class TraceError(UserError):
    """A trace has findings; the message lists each with its line."""


class Line(pydantic.BaseModel):
    """One line of a trace.

    Attributes:
        line: Its number in the file, from 1.
    """

    model_config = pydantic.ConfigDict(extra="forbid")
    line: int = 0


class About(Line):
    """What the trace shows, and the fleet it is played on.

    Attributes:
        text: One sentence.
        gateways: How many hosts there are.
        seconds: When the last event is over and the outcomes are checked.
        settings: Settings laid over the defaults.
        seed: Of the choices of the first host; the next one has one more.
    """

    kind: Literal["about"]
    text: str
    gateways: int = 2
    seconds: At
    settings: dict[str, Any] = {}
    seed: int = 0


class TargetsLine(Line):
    """Targets of one service, there from the start.

    Attributes:
        names: Their names in this trace.
        service: Their service.
        service_ms: Mean time of a request, in ms.
        spread: Sigma of the times' log-normal distribution.
        slots: Requests that run at the same time.
        faults: Faults from the start.
    """

    kind: Literal["targets"]
    names: list[str]
    service: str
    service_ms: float = 5.0
    spread: float = 0.0
    slots: int = 2
    faults: dict[str, Any] = {}


class RouteLine(Line):
    """A route in force from the start, named like its service."""

    kind: Literal["route"]
    service: str
    request_class: RequestClass
    path: str


class Arrivals(Line):
    """Requests of callers.

    Attributes:
        at: When the first comes.
        name: Their name; with several, `-1`, `-2` and so on is added.
        gateway: Which host they go to, from 1, or 0 for each in turn.
        count: How many there are.
        every_ms: Time between two, in ms.
        method: The HTTP method.
        path: Path and query.
        body: The request's body.
        key: The idempotency key; `{name}` stands for the request's name.
        deadline_ms: The time the callers give, in ms.
    """

    kind: Literal["arrivals"]
    at: At
    name: str
    gateway: int = ALL
    count: int = 1
    every_ms: float = 0.0
    method: str = "GET"
    path: str
    body: str = ""
    key: str | None = None
    deadline_ms: int = 1000


class TargetAction(enum.Enum):
    """What a target does once."""

    DRAIN = "drain"
    REFUSE = "refuse"
    CRASH = "crash"
    RESTART = "restart"
    LOSE_REQUESTS = "lose-requests"
    LOSE_ANSWERS = "lose-answers"
    START_COLD = "start-cold"


class TargetEvent(Line):
    """Something that happens at targets.

    Attributes:
        at: When.
        names: At which.
        faults: Faults to set, by their names in `TargetFaults`.
        action: What they do, or None.
        seconds: How long a cold start lasts.
    """

    kind: Literal["target-event"]
    at: At
    names: list[str]
    faults: dict[str, Any] = {}
    action: TargetAction | None = None
    seconds: float = 1.0


class LogEvent(Line):
    """Something that happens to the platform's log.

    Attributes:
        at: When.
        gateway: As which host sees it, from 1, or 0 for all.
        faults: Faults to set, by their names in `LogFaults`.
        next_appends: Faults of the next appends.
    """

    kind: Literal["log-event"]
    at: At
    gateway: int = ALL
    faults: dict[str, Any] = {}
    next_appends: list[AppendFault] = []


class ListEvent(Line):
    """Something that happens to the platform's list of hosts.

    Attributes:
        at: When.
        outage: Whether the list can't be read from then on.
        leaving: Targets listed as leaving from then on.
        missing: Targets not listed from then on.
        listed: Targets listed as live from then on.
    """

    kind: Literal["list-event"]
    at: At
    outage: bool | None = None
    leaving: list[str] = []
    missing: list[str] = []
    listed: list[str] = []


class GatewayEvent(Line):
    """A host ends at once, without a word."""

    kind: Literal["kill"]
    at: At
    gateway: int


class Change(Line):
    """An operator's change of a route, expecting the version then in force.

    Attributes:
        at: When.
        gateway: Which host is asked, from 1.
        name: The change's id.
        service: The route.
        deadline_seconds: The route's new default deadline, which tells the
            changes apart.
    """

    kind: Literal["change"]
    at: At
    gateway: int
    name: str
    service: str
    deadline_seconds: float


class Expect(Line):
    """What must become of requests; what is not given is not checked.

    Attributes:
        arrivals: Pattern of their names, such as `steady-*`.
        statuses: Each has one of these; 0 stands for no complete answer.
        reasons: Each refusal has one of these.
        outcomes: Each answer that is not a target's own has one of these.
        answered_at_least: Share that is answered by a target.
        answered_at_most: Share that is answered by a target.
        within_ms: Longest time of those answered, in ms.
        slower_at_most: Share of those answered that may take longer.
        executions_at_most: Most runs at targets, for each request on average.
    """

    kind: Literal["expect"]
    arrivals: str
    statuses: list[int] | None = None
    reasons: list[RefusalReason] | None = None
    outcomes: list[Outcome] | None = None
    answered_at_least: float | None = None
    answered_at_most: float | None = None
    within_ms: float | None = None
    slower_at_most: float = 0.0
    executions_at_most: float | None = None


class ExpectTargets(Line):
    """What must have happened at targets; what is not given is not checked.

    Attributes:
        names: Which; figures are their sums.
        since: Requests that began to run before are not counted.
        until: Requests that began to run later are not counted.
        executed_at_least: Fewest requests run.
        executed_at_most: Most requests run.
        crashes_at_most: Most crashes.
    """

    kind: Literal["expect-targets"]
    names: list[str]
    since: At = 0.0
    until: float = float("inf")
    executed_at_least: int | None = None
    executed_at_most: int | None = None
    crashes_at_most: int | None = None


class ExpectChanges(Line):
    """What must have become of operators' changes.

    Attributes:
        names: Which.
        accepted: How many of them were accepted, as their authors were told.
        in_force: Whether all live hosts agree on the route in the end, and it
            is one of these.
    """

    kind: Literal["expect-changes"]
    names: list[str]
    accepted: int | None = None
    in_force: bool = True


Event = Arrivals | TargetEvent | LogEvent | ListEvent | GatewayEvent | Change
Expectation = Expect | ExpectTargets | ExpectChanges

AnyLine = pydantic.TypeAdapter(
    Annotated[
        About | TargetsLine | RouteLine | Event | Expectation,
        pydantic.Field(discriminator="kind"),
    ]
)


class Trace:
    """A whole trace.

    Attributes:
        about: What it shows.
        targets: The targets, by service.
        routes: The routes in force from the start.
        events: What happens, by time.
        expectations: What must come of it.
    """

    def __init__(self, lines: list[Line]):
        """Arrange `lines`.

        Raises:
            TraceError: There is no line that says what the trace is about.
        """
        abouts = [line for line in lines if isinstance(line, About)]
        if len(abouts) != 1:
            raise TraceError("a trace has one line of kind about")
        self.about = abouts[0]
        self.targets = [line for line in lines if isinstance(line, TargetsLine)]
        self.routes = [line for line in lines if isinstance(line, RouteLine)]
        self.events = [line for line in lines if isinstance(line, Event)]
        self.events.sort(key=lambda event: event.at)
        self.expectations = [
            line for line in lines if isinstance(line, Expectation)
        ]


def parse_trace(text: str, name: str) -> Trace:
    """Return the trace in `text`; `name` stands before each finding.

    Raises:
        TraceError: A line can't be read; all findings are told together.
    """
    lines: list[Line] = []
    findings: list[str] = []
    for number, content in enumerate(text.splitlines(), 1):
        if not content.strip():
            continue
        try:
            line = AnyLine.validate_json(content)
        except pydantic.ValidationError as error:
            for detail in error.errors():
                place = ".".join(map(str, detail["loc"][1:]))
                findings.append(f"{name}:{number}: {place}: {detail['msg']}")
        else:
            line.line = number
            lines.append(line)
    if findings:
        raise TraceError("\n".join(findings))
    return Trace(lines)


def load_trace(path: pathlib.Path) -> Trace:
    """Return the trace in the file at `path`.

    Raises:
        TraceError: A line can't be read; all findings are told together.
    """
    return parse_trace(path.read_text(encoding="utf-8"), path.name)
