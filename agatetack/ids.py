"""Name the identifiers that pass between slices."""

from typing import NewType

AttemptId = NewType("AttemptId", str)
"""One try at one target; unique over all hosts and restarts."""

CallerId = NewType("CallerId", str)
"""Who sent a request, as the caller names itself or by IP address."""

ChangeId = NewType("ChangeId", str)
"""One operator's change of configuration, chosen by the operator."""

FailureDomain = NewType("FailureDomain", str)
Region = NewType("Region", str)
"""A set of hosts that fail together."""

HostId = NewType("HostId", str)
"""One agatetack process, as its settings name it."""

IdempotencyKey = NewType("IdempotencyKey", str)
"""What a caller sends to have a request run at most once."""

LogOffset = NewType("LogOffset", int)
"""Where a record stands in a stream of the platform's log, from 0."""

ProcessId = NewType("ProcessId", str)
"""One start of a target's process: its `TargetId`, and its incarnation where
the platform tells it."""

RequestId = NewType("RequestId", str)
"""One request, chosen by the caller or made at arrival."""

RouteId = NewType("RouteId", str)
"""One route, chosen by the operator; also its counters' label."""

ServiceId = NewType("ServiceId", str)
"""A group of targets that run the same requests."""

StoreGeneration = NewType("StoreGeneration", int)
"""How often the metadata store has lost records, as it says itself."""

StreamId = NewType("StreamId", str)
"""One stream of the platform's log."""

TargetId = NewType("TargetId", str)
"""One target, as `ip:port`."""

TeamId = NewType("TeamId", str)
"""A team of operators that owns services."""

TicketId = NewType("TicketId", str)
"""A deferred request, given to its caller for polling."""

Deadline = NewType("Deadline", float)
"""A point on trio's monotonic clock, in seconds."""

WallTime = NewType("WallTime", float)
"""A point on the wall clock, in seconds since 1970; only in records."""
