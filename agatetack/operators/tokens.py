"""Make tokens for operators."""

import dataclasses
import hashlib
import secrets
from collections.abc import Sequence

from agatetack.ids import TeamId
from agatetack.settings.model import OperatorRole, OperatorToken

TOKEN_BYTES = 32
"""Random bytes of a token; far too many to guess."""


@dataclasses.dataclass(frozen=True, slots=True)
class NewToken:
    """A token that was just made.

    Attributes:
        secret: What the operator sends; it stands nowhere else.
        entry: What the settings hold.
    """

    secret: str
    entry: OperatorToken


def token_digest(secret: bytes) -> str:
    """Return what settings hold of a token, in hex."""
    return hashlib.sha256(secret).hexdigest()


def make_token(
    name: str,
    team: TeamId,
    roles: Sequence[OperatorRole] = tuple(OperatorRole),
    services: Sequence[str] = ("*",),
) -> NewToken:
    """Return a new random token, as for a demo whose settings stay in memory.

    Args:
        name: Stands in logs and records.
        team: Whose routes it may change.
        roles: What it may do.
        services: On which services; `*` stands for all.
    """
    secret = secrets.token_hex(TOKEN_BYTES)
    entry = OperatorToken(
        name=name,
        team=team,
        sha256=token_digest(secret.encode()),
        roles=tuple(roles),
        services=tuple(services),
    )
    return NewToken(secret, entry)
