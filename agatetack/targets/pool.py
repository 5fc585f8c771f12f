"""Keep open connections to targets for the next request."""

import abc

import trio

from agatetack.ids import Deadline, ProcessId
from agatetack.settings.model import Settings
from agatetack.targets.client import Freshness
from agatetack.targets.connection import (
    ConnectFailed,
    TargetConnection,
    open_connection,
)
from agatetack.targets.state import TargetState

CLOSE_RACE_SECONDS = 1.0
"""A connection is not used so shortly before its target closes it, as a
request on its way then would be lost."""


class ConnectionShare(abc.ABC):
    """What one host may keep of the connections that a target accepts."""

    @abc.abstractmethod
    def most(self, target: TargetState) -> int:
        """Return how many connections to `target` this host may have open."""


class OwnConnections(ConnectionShare):
    """As many as the settings say, whatever other hosts have."""

    def __init__(self, settings: Settings):
        """Take the number from `settings`."""
        self.limit = settings.targets.max_connections

    def most(self, target: TargetState) -> int:
        """Return the number of the settings."""
        return self.limit


class TargetPool:
    """Idle connections to one target, latest used last.

    Attributes:
        share: How many may be open.
        idle: Connections without a request.
        open_count: Connections open now, idle or not.
        suspect_before: Connections that had no byte since then are not used
            again, because one of them was found silent.
    """

    def __init__(self, settings: Settings, share: ConnectionShare):
        """Keep connections as `settings` and `share` say."""
        self.settings = settings
        self.share = share
        self.idle: list[TargetConnection] = []
        self.open_count = 0
        self.suspect_before = Deadline(0.0)

    def take(self, freshness: Freshness) -> TargetConnection | None:
        """Return an idle connection that may be used, or None."""
        if freshness is Freshness.NEW:
            return None
        now = trio.current_time()
        while self.idle:
            connection = self.idle.pop()
            connection.target.idle_connections = len(self.idle)
            most = self._max_age(freshness)
            if connection.idle_seconds is not None:
                most = min(most, connection.idle_seconds - CLOSE_RACE_SECONDS)
            oldest = max(now - most, self.suspect_before)
            if connection.last_byte_at >= oldest and connection.is_quiet():
                return connection
            self.discard(connection)
        return None

    def _max_age(self, freshness: Freshness) -> float:
        if freshness is Freshness.PROVEN:
            return self.settings.claims.proven_connection_seconds
        return self.settings.targets.idle_proof_seconds

    def put_back(self, connection: TargetConnection) -> None:
        """Keep a connection whose last answer was read to its end."""
        if connection.last_byte_at < self.suspect_before:
            self.discard(connection)
            return
        self.idle.append(connection)
        connection.target.idle_connections = len(self.idle)

    def discard(self, connection: TargetConnection) -> None:
        """Close a connection for good."""
        if not connection.closed:
            self.open_count -= 1
            connection.close()

    def suspect(self, connection: TargetConnection, since: Deadline) -> None:
        """Close a silent connection and trust none as silent as it.

        Args:
            connection: Where no byte came.
            since: When a byte was first missed there.
        """
        self.suspect_before = max(self.suspect_before, since)
        self.discard(connection)
        self.close_idle_before(self.suspect_before)

    def close_idle_before(self, oldest: Deadline) -> None:
        """Close idle connections without a byte since `oldest`."""
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

        Raises:
            ConnectFailed: None could be opened, or too many are open.
        """
        limits = self.settings.targets
        if self.open_count >= self.share.most(target):
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
    """The pools of all targets of one host, one for each of their starts.

    Attributes:
        share: How many connections each of them may have open.
    """

    def __init__(self, settings: Settings):
        """Start without connections."""
        self.settings = settings
        self.share: ConnectionShare = OwnConnections(settings)
        self.pools: dict[ProcessId, TargetPool] = {}

    def pool(self, process: ProcessId) -> TargetPool:
        """Return the pool of `process`, a new one if there is none."""
        pool = self.pools.get(process)
        if pool is None:
            pool = TargetPool(self.settings, self.share)
            self.pools[process] = pool
        return pool

    async def close_old(self) -> None:
        """Close connections that have been idle for long; runs for ever."""
        seconds = self.settings.targets.idle_close_seconds
        while True:
            await trio.sleep(seconds / 2)
            oldest = Deadline(trio.current_time() - seconds)
            for process, pool in list(self.pools.items()):
                pool.close_idle_before(oldest)
                if not pool.open_count:
                    del self.pools[process]
