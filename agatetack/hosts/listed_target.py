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
        incarnation: When its process started, in Unix ms; 0 if not said.
        sequence: Number of its report of itself, from its start on.
    """

    slots: int = 2
    warm_at: Deadline = Deadline(0.0)
    incarnation: int = 0
    sequence: int = 0

    def is_older_than(self, other: "ListedTarget") -> bool:
        """Return whether the target said this before it said `other`.

        A report may land seconds late, behind one of a later start or behind
        a later one of the same start. Without an incarnation it can't be
        told, as numbers begin anew with each start.
        """
        if not self.incarnation or not other.incarnation:
            return False
        own = (self.incarnation, self.sequence)
        return own < (other.incarnation, other.sequence)


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
