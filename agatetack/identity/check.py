"""Identify the client account of each request by its API key."""

from collections.abc import Sequence

import trio

from agatetack.config.route import Route
from agatetack.identity.accounts import AccountSource, ClientAccount
from agatetack.identity.age import ConfigurationAge, UncheckedAge
from agatetack.identity.keys import ApiKeyHash, hash_key
from agatetack.identity.returning import ReturningRequests
from agatetack.ids import CallerId, Deadline
from agatetack.messages import CallerRequest, Header
from agatetack.metrics import Metrics
from agatetack.outcomes import Refusal, RefusalReason, refuse
from agatetack.settings.model import Settings
from agatetack.targets.answer_check import encode_name

USABLE_AGE_RATIO = 0.8
"""Share of the revocation time for which a proof that the configuration is
current is used. The rest covers the request's way from its caller."""

UNKNOWN_KEY_AGE_RATIO = 0.5
"""Share of the revocation time for which a proof is recent enough to call a key
unknown. A host that lags behind would refuse a key that was just added."""

MAX_KEY_BYTES = 512
"""Longest key that is hashed; a caller must not make a host hash more."""

BEARER = b"bearer "

RETRY_SECONDS = 1.0
"""When a caller should retry at a host without a recent proof."""


class AccountCheck:
    """Identifies accounts and keeps API keys from targets and other hosts.

    Attributes:
        source: The accounts in force.
        age: How old the configuration in force may be.
    """

    def __init__(
        self,
        settings: Settings,
        source: AccountSource,
        metrics: Metrics,
        age: ConfigurationAge | None = None,
    ):
        """Identify the accounts in `source`.

        Args:
            settings: Names of headers, and whether keys are revoked strictly.
            source: The accounts in force.
            metrics: Where identified requests are counted.
            age: How old the configuration may be; never checked if None.
        """
        self.source = source
        self.age = age or UncheckedAge()
        self.returning = ReturningRequests()
        self.revocation_seconds = settings.identity.revocation_seconds
        self.credentials_name = settings.callers.headers.credentials.encode()
        self.account_name = encode_name(settings.targets.headers.account)
        self.private_names = frozenset(
            (self.credentials_name, self.account_name)
        )
        self.counter = metrics.counter(
            "agatetack_identified_total",
            "Requests on routes that need an API key, by result.",
        )

    def identify(self, route: Route, request: CallerRequest) -> Refusal | None:
        """Set the account of `request`, or return why it is refused.

        The caller's credentials and its own account header are removed in
        any case. Nothing is done if the configuration has no accounts.
        """
        table = self.source.table
        if table is None:
            return None
        key_hash = read_key_hash(request.headers, self.credentials_name)
        request.headers = [
            header
            for header in request.headers
            if header.name not in self.private_names
        ]
        if route.id in table.public_routes:
            return None
        account = table.by_key.get(key_hash)
        refusal = self._check_age(request, account)
        if refusal is not None:
            self.counter.inc({"result": "unproven"})
            return refusal
        if account is None:
            self.counter.inc({"result": "unknown"})
            return refuse(
                RefusalReason.CREDENTIALS_UNKNOWN,
                "The request needs a valid API key.",
            )
        self.counter.inc({"result": "identified"})
        self._set_account(route, request, account)
        return None

    def _check_age(
        self, request: CallerRequest, account: ClientAccount | None
    ) -> Refusal | None:
        """Return a refusal if the configuration may be too old to decide."""
        ratio = UNKNOWN_KEY_AGE_RATIO if account is None else USABLE_AGE_RATIO
        max_age = ratio * self.revocation_seconds
        if request.arrived - self.age.proven_at() <= max_age:
            return None
        return refuse(
            RefusalReason.CONFIGURATION_UNPROVEN,
            "This host can't tell whether its API keys are current.",
            Deadline(trio.current_time() + RETRY_SECONDS),
        )

    def _set_account(
        self, route: Route, request: CallerRequest, account: ClientAccount
    ) -> None:
        request.account = account
        request.returning = self.returning.is_returning(request, route.id)
        # Queues are fair between accounts, however many callers one has.
        request.caller = CallerId(account.id)
        if self.account_name is not None:
            value = account.id.encode()
            request.headers = [
                *request.headers,
                Header(self.account_name, value),
            ]


def read_key_hash(headers: Sequence[Header], name: bytes) -> ApiKeyHash | None:
    """Return the hash of the bearer token in header `name` (RFC 6750).

    None if there is no such header, more than one, or no bearer token in it.
    """
    values = [header.value for header in headers if header.name == name]
    if len(values) != 1:
        return None
    scheme, key = values[0][: len(BEARER)], values[0][len(BEARER) :].strip()
    if scheme.lower() != BEARER or not 0 < len(key) <= MAX_KEY_BYTES:
        return None
    return hash_key(key)
