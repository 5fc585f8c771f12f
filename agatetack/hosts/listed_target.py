"""Define what a registry of targets says beyond a list of hosts."""

import abc
import dataclasses

from agatetack.hosts.host_list import ListedHost
from agatetack.ids import Deadline


@dataclasses.dataclass(frozen=True, slots=True)
class ListedTarget(ListedHost):
    """One target that registered itself; its id is that of its process.

    Attributes:
        slots: Requests that it can run at the same time.
        warm_at: When it has warmed up after its start.
    """

    slots: int = 2
    warm_at: Deadline = Deadline(0.0)


class BadRegistration(Exception):
    """Bytes are no registration of a target."""


class RegistrationDecoder(abc.ABC):
    """A way to read registrations."""

    @abc.abstractmethod
    def decode(self, key: str, content: bytes) -> ListedTarget:
        """Return the target registered under `key`.

        Raises:
            BadRegistration: `content` registers none.
        """
