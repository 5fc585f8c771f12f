"""Pool open connections to targets for reuse by later requests."""

import abc

import trio

from agatetack.ids import Deadline, ProcessId, RequestId
from agatetack.settings.model import Settings
from agatetack.targets.client import Freshness
from agatetack.targets.connection import (
    ConnectFailed,
    TargetConnection,
    open_connection,
)
from agatetack.targets.state import TargetState

CLOSE_RACE_SECONDS = 1.0
"""An idle connection is not reused within this time before its target's
keep-alive timeout: a request sent as the target closes it would be lost."""

MAX_REJECTED_PER_CONNECTION = 1000
"""A connection is closed after this many rejections, as the ids of all of them
are remembered."""


class ConnectionLimit(abc.ABC):
    """Limits how many connections this host may open to a target."""

    @abc.abstractmethod
    def limit_for(self, target: TargetState) -> int:
        """Return how many connections to `target` this host may have open."""


class SettingsConnectionLimit(ConnectionLimit):
    """Applies the limit in the settings, regardless of other hosts."""

    def __init__(self, settings: Settings):
        """Read the limit from `settings`."""
        self.limit = settings.targets.max_connections

    def limit_for(self, target: TargetState) -> int:
        """Return the limit in the settings."""
        return self.limit


class TargetPool:
    """Pool of connections to one target.

    Attributes:
        connection_limit: Limits how many connections may be open.
        idle: Connections without a request, most recently used last.
        open_count: Connections open now, idle or not.
        min_last_byte_at: Connections that received no byte since this time are
            not reused, because another connection to the target was found to
            be silent.
    """

    def __init__(self, settings: Settings, connection_limit: ConnectionLimit):
        """Limit the age and number of connections by the arguments."""
        self.settings = settings
        self.connection_limit = connection_limit
        self.idle: list[TargetConnection] = []
        self.open_count = 0
        self.min_last_byte_at = Deadline(0.0)

    def take(
        self, freshness: Freshness, request: RequestId | None = None
    ) -> TargetConnection | None:
        """Remove and return a reusable idle connection, or return None.

        Args:
            freshness: Which connections may be used.
            request: The id of the request to send; connections on which it
                was rejected are left for others. None if it has no id.
        """
        if freshness is Freshness.NEW:
            return None
        passed_over = []
        found = None
        while self.idle and found is None:
            connection = self.idle.pop()
            if not self._is_reusable(connection, freshness):
                self.discard(connection)
            elif request in connection.rejected:
                passed_over.append(connection)
            else:
                found = connection
            connection.target.idle_connections = len(self.idle)
        for connection in reversed(passed_over):
            self._keep_idle(connection)
        return found

    def _is_reusable(
        self, connection: TargetConnection, freshness: Freshness
    ) -> bool:
        max_idle_seconds = self._max_idle_seconds(freshness)
        if connection.idle_seconds is not None:
            max_idle_seconds = min(
                max_idle_seconds,
                connection.idle_seconds - CLOSE_RACE_SECONDS,
            )
        oldest = max(
            trio.current_time() - max_idle_seconds, self.min_last_byte_at
        )
        return connection.last_byte_at >= oldest and connection.is_quiet()

    def _max_idle_seconds(self, freshness: Freshness) -> float:
        if freshness is Freshness.PROVEN:
            return self.settings.claims.proven_connection_seconds
        return self.settings.targets.idle_proof_seconds

    def put_back(self, connection: TargetConnection) -> None:
        """Keep a connection for reuse once its response was read to the end."""
        if (
            connection.last_byte_at < self.min_last_byte_at
            or len(connection.rejected) >= MAX_REJECTED_PER_CONNECTION
        ):
            self.discard(connection)
            return
        self._keep_idle(connection)

    def _keep_idle(self, connection: TargetConnection) -> None:
        self.idle.append(connection)
        connection.target.idle_connections = len(self.idle)

    def discard(self, connection: TargetConnection) -> None:
        """Close a connection instead of keeping it for reuse."""
        if not connection.closed:
            self.open_count -= 1
            connection.close()

    def suspect(self, connection: TargetConnection, since: Deadline) -> None:
        """Close a silent connection and those that were silent as long.

        Args:
            connection: The connection that received no byte.
            since: The start of the time without a byte.
        """
        self.min_last_byte_at = max(self.min_last_byte_at, since)
        self.discard(connection)
        self.close_idle_before(self.min_last_byte_at)

    def close_idle_before(self, oldest: Deadline) -> None:
        """Close idle connections that received no byte since `oldest`."""
        kept = []
        for connection in self.idle:
            if connection.last_byte_at >= oldest:
                kept.append(connection)
            else:
                self.discard(connection)
                connection.target.idle_connections = len(kept)
        self.idle = kept

    async def open(
        self, target: TargetState, deadline: Deadline
    ) -> TargetConnection:
        """Open a new connection.

        Idle connections that the caller could not use make room for it.

        Raises:
            ConnectFailed: It could not be opened, or too many are open.
        """
        limits = self.settings.targets
        limit = self.connection_limit.limit_for(target)
        while self.open_count >= limit and self.idle:
            self.discard(self.idle.pop(0))
            target.idle_connections = len(self.idle)
        if self.open_count >= limit:
            raise ConnectFailed("too many connections are open")
        self.open_count += 1
        latest = trio.current_time() + limits.connect_timeout_seconds
        try:
            return await open_connection(
                target, min(deadline, Deadline(latest))
            )
        except BaseException:
            self.open_count -= 1
            raise


class TargetPools:
    """The connection pools of this host, one for each target process.

    Attributes:
        connection_limit: Limits how many connections each pool may have open.
    """

    def __init__(self, settings: Settings):
        """Start without connections."""
        self.settings = settings
        self.connection_limit: ConnectionLimit = SettingsConnectionLimit(
            settings
        )
        self.pools: dict[ProcessId, TargetPool] = {}

    def pool(self, process: ProcessId) -> TargetPool:
        """Return the pool of `process`, creating it if there is none."""
        pool = self.pools.get(process)
        if pool is None:
            pool = TargetPool(self.settings, self.connection_limit)
            self.pools[process] = pool
        return pool

    async def close_expired(self) -> None:
        """Close connections that were idle too long; runs until cancelled."""
        seconds = self.settings.targets.idle_close_seconds
        while True:
            await trio.sleep(seconds / 2)
            oldest = Deadline(trio.current_time() - seconds)
            for process, pool in list(self.pools.items()):
                pool.close_idle_before(oldest)
                if not pool.open_count:
                    del self.pools[process]
