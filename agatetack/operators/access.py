"""Find out who calls the API and what that operator may do."""

import base64
import binascii
import collections
import dataclasses
import hmac
import ipaddress

from agatetack.clock import Clock, SystemClock
from agatetack.ids import Deadline, ServiceId, TeamId
from agatetack.logs import PartLog
from agatetack.metrics import Metrics
from agatetack.operators.refusals import AccessDenied, AccessProblem
from agatetack.operators.tokens import token_digest
from agatetack.settings.model import OperatorRole, OperatorToken, Settings

ALL_SERVICES = "*"
"""What a token's services hold if it may use all."""

MAX_ADDRESSES = 10_000
"""Addresses whose failed attempts are remembered at the same time."""

MINUTE_SECONDS = 60.0
LOOPBACK_OPERATOR = "loopback"

log = PartLog("operators")


@dataclasses.dataclass(frozen=True, slots=True)
class Operator:
    """Who calls.

    Attributes:
        name: The token's name; stands in the log and in records.
        team: Its team; empty without a token.
        roles: What it may do.
        services: On which services; `*` stands for all.
    """

    name: str
    team: TeamId
    roles: frozenset[OperatorRole]
    services: frozenset[str]

    @property
    def all_services(self) -> bool:
        """Return whether it may use every service, of any team."""
        return ALL_SERVICES in self.services

    def covers(self, service: ServiceId | None) -> bool:
        """Return whether `service` is in scope; None needs all."""
        return service in self.services or ALL_SERVICES in self.services

    def require(self, role: OperatorRole) -> None:
        """Raise AccessDenied if the operator lacks `role`."""
        if role not in self.roles:
            raise AccessDenied(
                AccessProblem.ROLE_MISSING,
                f"{self.name} lacks the role {role.value}",
            )

    def require_service(self, service: ServiceId | None) -> None:
        """Raise AccessDenied if `service` is out of scope."""
        if not self.covers(service):
            raise AccessDenied(
                AccessProblem.SERVICE_OUT_OF_SCOPE,
                f"{self.name} has no access to"
                f" {'all services' if service is None else service}",
            )

    def require_team(self, team: TeamId) -> None:
        """Raise AccessDenied if a route of `team` is not the operator's."""
        if team != self.team and not self.all_services:
            raise AccessDenied(
                AccessProblem.OTHER_TEAM,
                f"{self.name} of team {self.team} may not change what"
                f" belongs to team {team}",
            )


@dataclasses.dataclass(frozen=True, slots=True)
class Sender:
    """What came with a call.

    Attributes:
        authorization: The Authorization header; empty if there was none.
        address: The IP number it came from.
    """

    authorization: bytes
    address: str


class FailedAttempts:
    """Bounds how many wrong tokens one address may send.

    Each address has a bucket of attempts that refills over a minute.
    """

    def __init__(self, settings: Settings, clock: Clock):
        """Allow what `settings.operators` says."""
        self.per_minute = settings.operators.failed_attempts_per_minute
        self.clock = clock
        self.full_at: collections.OrderedDict[str, Deadline] = (
            collections.OrderedDict()
        )

    @property
    def refill_seconds(self) -> float:
        """Return how long one attempt takes to come back."""
        return MINUTE_SECONDS / self.per_minute

    def wait_seconds(self, address: str) -> float:
        """Return how long `address` has to wait for an attempt; 0 if not."""
        missing = self.full_at.get(address, 0.0) - self.clock.now()
        return max(0.0, missing + self.refill_seconds - MINUTE_SECONDS)

    def note(self, address: str) -> None:
        """Take one attempt from `address`."""
        start = max(self.full_at.pop(address, 0.0), self.clock.now())
        self.full_at[address] = Deadline(start + self.refill_seconds)
        if len(self.full_at) > MAX_ADDRESSES:
            self.full_at.popitem(last=False)


class Authenticator:
    """Turn an Authorization header into an operator."""

    def __init__(
        self,
        settings: Settings,
        metrics: Metrics,
        clock: Clock | None = None,
    ):
        """Know the tokens of `settings.operators`."""
        self.tokens = settings.operators.tokens
        self.failed = FailedAttempts(settings, clock or SystemClock())
        self.denied = metrics.counter(
            "agatetack_operators_denied_total",
            "Operators' calls denied, by problem.",
        )
        for problem in AccessProblem:
            self.denied.add({"problem": problem.value}, 0)

    def authenticate(self, sender: Sender) -> Operator:
        """Return the operator behind `sender`.

        Raises:
            AccessDenied: The token is missing or wrong, or the address sent
                too many wrong ones lately.
        """
        if not self.tokens:
            return _loopback_operator(sender.address)
        wait = self.failed.wait_seconds(sender.address)
        if wait > 0:
            raise AccessDenied(
                AccessProblem.TOO_MANY_FAILURES,
                "too many wrong tokens came from this address",
                retry_after_ms=int(wait * 1000) + 1,
            )
        given = _read_token(sender.authorization)
        if given is None:
            raise AccessDenied(
                AccessProblem.TOKEN_MISSING,
                "send the header Authorization: Bearer TOKEN",
            )
        token = self._find(given)
        if token is None:
            self.failed.note(sender.address)
            log.warning("A wrong token came from %s.", sender.address)
            raise AccessDenied(
                AccessProblem.TOKEN_WRONG, "the token is not known here"
            )
        return Operator(
            token.name,
            TeamId(token.team),
            frozenset(token.roles),
            frozenset(token.services),
        )

    def count(self, denied: AccessDenied) -> None:
        """Count a denied call, whoever denied it."""
        self.denied.inc({"problem": denied.problem.value})

    def _find(self, given: bytes) -> OperatorToken | None:
        """Return the token, in a time that doesn't depend on which it is."""
        digest = token_digest(given)
        found = None
        for token in self.tokens:
            if hmac.compare_digest(digest, token.sha256):
                found = token
        return found


def _loopback_operator(address: str) -> Operator:
    """Return a reader without a token, if it runs on this computer."""
    if not is_loopback(address):
        raise AccessDenied(
            AccessProblem.NO_TOKENS_CONFIGURED,
            "no tokens are configured, so only reads from loopback are allowed",
        )
    return Operator(
        LOOPBACK_OPERATOR,
        TeamId(""),
        frozenset({OperatorRole.READ}),
        frozenset({ALL_SERVICES}),
    )


def is_loopback(address: str) -> bool:
    """Return whether `address` is an IP number of this very computer."""
    try:
        return ipaddress.ip_address(address).is_loopback
    except ValueError:
        return False


def _read_token(authorization: bytes) -> bytes | None:
    """Return the token of a Bearer header, or the password of a Basic one.

    Browsers send Basic, so that a person can open the status page.
    """
    scheme, _, value = authorization.strip().partition(b" ")
    value = value.strip()
    if scheme.lower() == b"bearer":
        return value or None
    if scheme.lower() != b"basic":
        return None
    try:
        decoded = base64.b64decode(value, validate=True)
    except binascii.Error:
        return None
    return decoded.partition(b":")[2] or None
