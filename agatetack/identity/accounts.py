"""Define client accounts and the table that finds them by their API keys."""

import dataclasses
import re
from collections.abc import Collection, Iterable

# Defined there as it is needed without accounts.
from agatetack.config.document import AccountSource as AccountSource
from agatetack.identity.keys import ApiKeyHash
from agatetack.ids import ClientAccountId, RouteId

ACCOUNT_ID = re.compile(r"[!-~]{1,200}")
"""Valid ids of accounts: those that can be sent in a header."""


class BadAccount(ValueError):
    """An account is not valid; the message names it, but never a key."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """One client account.

    Attributes:
        id: Its id, which targets are told.
        key_hashes: Hashes of its API keys.
        priority: Rank of its requests, which takes precedence over that of
            their route; 0 is the highest. None uses the route's.
        requests_per_second: Its quota for the whole fleet; 0 for no limit.
        burst: Requests that it may send at once beyond that rate.
    """

    id: ClientAccountId
    key_hashes: frozenset[ApiKeyHash] = frozenset()
    priority: int | None = None
    requests_per_second: float = 0.0
    burst: float = 0.0


class AccountTable:
    """The accounts of one configuration.

    Attributes:
        by_id: The accounts by their ids.
        by_key: The accounts by the hashes of their keys.
        public_routes: Routes whose requests need no key.
    """

    def __init__(
        self,
        accounts: Iterable[ClientAccount],
        public_routes: Collection[RouteId] = (),
    ):
        """Index `accounts`.

        Args:
            accounts: The accounts.
            public_routes: Routes whose requests need no key.

        Raises:
            BadAccount: An id can't be sent in a header, or two accounts have
                the same id or key.
        """
        self.by_id: dict[ClientAccountId, ClientAccount] = {}
        self.by_key: dict[ApiKeyHash, ClientAccount] = {}
        self.public_routes = frozenset(public_routes)
        for account in accounts:
            if not ACCOUNT_ID.fullmatch(account.id):
                raise BadAccount(f"{account.id!r} is not valid as a name")
            if account.id in self.by_id:
                raise BadAccount(f"two accounts are named {account.id!r}")
            self.by_id[account.id] = account
            for key_hash in account.key_hashes:
                other = self.by_key.setdefault(key_hash, account)
                if other is not account:
                    raise BadAccount(
                        f"{other.id!r} and {account.id!r} have the same key"
                    )
