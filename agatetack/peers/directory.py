"""Define what the exchange needs to know of the platform's list of hosts."""

from collections.abc import Callable, Sequence
from typing import Protocol

from agatetack.platform.host_list import ListedHost


class GatewayDirectory(Protocol):
    """The latest list that was read; it may be outdated."""

    def gateways(self) -> Sequence[ListedHost]:
        """Return the agatetack hosts of the list."""

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change of the list."""


class StaticDirectory(GatewayDirectory):
    """A list that its user sets by hand, for tests and benches.

    Attributes:
        hosts: The entries.
    """

    def __init__(self, hosts: Sequence[ListedHost] = ()):
        """List `hosts`."""
        self.hosts = list(hosts)
        self.callbacks: list[Callable[[], None]] = []

    def gateways(self) -> Sequence[ListedHost]:
        """Return the entries."""
        return self.hosts

    def on_change(self, callback: Callable[[], None]) -> None:
        """Keep `callback` for the next `replace`."""
        self.callbacks.append(callback)

    def replace(self, hosts: Sequence[ListedHost]) -> None:
        """List `hosts` and tell who asked."""
        self.hosts = list(hosts)
        for callback in self.callbacks:
            callback()
