"""Define how the requests of client accounts are limited."""

import abc
from typing import TYPE_CHECKING

from agatetack.ids import Deadline

if TYPE_CHECKING:
    from agatetack.identity.accounts import ClientAccount


class QuotaLimiter(abc.ABC):
    """Limits the requests of each client account over the whole fleet."""

    @abc.abstractmethod
    def admit(
        self, account: "ClientAccount", returning: bool = False
    ) -> Deadline | None:
        """Count one request of `account`.

        Args:
            account: The account.
            returning: Whether the request was surely refused before. Those
                that can still be answered in time go first.

        Returns:
            None if it is within the account's quota, else when the caller
            should retry.
        """

    @abc.abstractmethod
    def refund(self, account: "ClientAccount") -> None:
        """Give back the credit of an admitted request that did not run."""
