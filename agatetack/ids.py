"""Define the types of identifiers that components share."""

from typing import NewType

AttemptId = NewType("AttemptId", str)
"""Id of one attempt at one target; unique over all hosts and restarts."""

CallerId = NewType("CallerId", str)
"""The sender of a request: the name that it states, or its IP address."""

ChangeId = NewType("ChangeId", str)
"""One operator's change of configuration, chosen by the operator."""

FailureDomain = NewType("FailureDomain", str)
Region = NewType("Region", str)
"""A set of hosts that fail together."""

HostId = NewType("HostId", str)
"""One agatetack process, as its settings name it."""

ClientAccountId = NewType("ClientAccountId", str)
"""A customer whose callers share API keys, a priority and a quota."""

IdempotencyKey = NewType("IdempotencyKey", str)
"""Key that a caller sends so that a request runs at most once."""

LogOffset = NewType("LogOffset", int)
"""Position of a record in a stream of the platform's log, from 0."""

ProcessId = NewType("ProcessId", str)
"""One instance of a target's process: its `TargetId`, and its incarnation if
the platform reports it."""

RequestId = NewType("RequestId", str)
"""Id of one request, chosen by the caller or generated on arrival."""

RouteId = NewType("RouteId", str)
"""Id of one route, chosen by the operator; also the label of its metrics."""

ServiceId = NewType("ServiceId", str)
"""A group of targets that run the same requests."""

StoreGeneration = NewType("StoreGeneration", int)
"""How often the metadata store has lost records, as the store reports it."""

StreamId = NewType("StreamId", str)
"""One stream of the platform's log."""

TargetId = NewType("TargetId", str)
"""One target, as `ip:port`."""

TeamId = NewType("TeamId", str)
"""A team of operators that owns services."""

TicketId = NewType("TicketId", str)
"""Id of a deferred request, with which its caller polls for the result."""

Deadline = NewType("Deadline", float)
"""A point on trio's monotonic clock, in seconds."""

WallTime = NewType("WallTime", float)
"""A point on the wall clock, in seconds since 1970; only in records."""
