"""Define what the exchange needs to know of the platform's list of hosts."""

from collections.abc import Callable, Sequence
from typing import Protocol

from agatetack.hosts.host_list import ListedHost


class GatewayDirectory(Protocol):
    """The latest list that was read; it may be outdated."""

    def gateways(self) -> Sequence[ListedHost]:
        """Return the agatetack hosts of the list."""

    def on_change(self, callback: Callable[..., None]) -> None:
        """Call `callback`, with what changed, after each change."""
