"""Tell whether a host may decide by the configuration that it has."""

import abc


class Currency(abc.ABC):
    """Whether the configuration in force at this host is the newest one."""

    @property
    @abc.abstractmethod
    def is_old(self) -> bool:
        """Return whether it may be too old to be served by.

        What would tell is on its way. It is not if the store is known not to
        answer: hosts then go on with what they have.
        """

    @property
    @abc.abstractmethod
    def may_lack_routes(self) -> bool:
        """Return whether a route that is not in force here may exist."""


class AlwaysCurrent(Currency):
    """The currency of hosts that have no other way to tell."""

    @property
    def is_old(self) -> bool:
        """Return False."""
        return False

    @property
    def may_lack_routes(self) -> bool:
        """Return False."""
        return False
