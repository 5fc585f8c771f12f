"""Define a registered target, which has more fields than a listed host."""

import abc
import dataclasses

from agatetack.hosts.host_list import ListedHost
from agatetack.ids import Deadline


@dataclasses.dataclass(frozen=True, slots=True)
class ListedTarget(ListedHost):
    """A target that registered itself; its id is that of its process.

    Attributes:
        slots: Number of requests that it can run concurrently.
        warm_at: When its warm-up after the start ends.
        incarnation: When its process started, in Unix ms; 0 if unknown.
        sequence: Number of this registration, counted from the process start.
    """

    slots: int = 2
    warm_at: Deadline = Deadline(0.0)
    incarnation: int = 0
    sequence: int = 0

    def is_older_than(self, other: "ListedTarget") -> bool:
        """Return whether the target sent this registration before `other`.

        A registration may arrive seconds late, after a newer one of the same
        process or of a later one. Without an incarnation the order is unknown,
        because sequence numbers restart with each process.
        """
        if not self.incarnation or not other.incarnation:
            return False
        own = (self.incarnation, self.sequence)
        return own < (other.incarnation, other.sequence)


class BadRegistration(Exception):
    """The content is not a valid registration of a target."""


class RegistrationDecoder(abc.ABC):
    """Decodes registrations of targets."""

    @abc.abstractmethod
    def decode(self, key: str, content: bytes) -> ListedTarget:
        """Return the target registered under `key`.

        Raises:
            BadRegistration: `content` is not a valid registration.
        """
