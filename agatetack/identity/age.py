"""Define how a host tells how old its configuration may be."""

import abc

import trio

from agatetack.ids import Deadline


class ConfigurationAge(abc.ABC):
    """Tells until when the configuration in force was surely the newest."""

    @abc.abstractmethod
    def proven_at(self) -> Deadline:
        """Return the latest time at which no newer configuration existed.

        Minus infinity if that was never proven.
        """


class UncheckedAge(ConfigurationAge):
    """Takes the configuration in force for the newest one at all times."""

    def proven_at(self) -> Deadline:
        """Return the current time."""
        return Deadline(trio.current_time())
