"""Mutual authentication of two hosts when a connection opens.

The dialling host sends its hello and the accepting host answers with its own.
Then each proves that it has the shared key by an HMAC over both hellos. Their
nonces are fresh, so that proofs can't be replayed. The accepting host sends its
proof last, so that a host without the key never obtains a proof.
"""

import enum
import hmac
import secrets
from collections.abc import Awaitable, Callable

from agatetack.generated.peers import ttypes
from agatetack.generated.peers.constants import PROTOCOL_VERSION
from agatetack.peers.frames import (
    CloseReason,
    FrameReader,
    LinkClosed,
    encode_frame,
)

NONCE_BYTES = 16
"""Size of the random nonce in each hello."""

_HMAC_DIGEST = "sha256"

Send = Callable[[bytes], Awaitable[None]]
"""Sends the bytes of one frame."""


class Side(enum.Enum):
    """The role of a host in a connection; part of its proof."""

    DIALLING = b"dialling"
    ACCEPTING = b"accepting"


def new_nonce() -> bytes:
    """Return a new random nonce for one hello."""
    return secrets.token_bytes(NONCE_BYTES)


def compute_proof(
    key: str | None, side: Side, dialling_hello: bytes, accepting_hello: bytes
) -> bytes:
    """Return the proof that the host on `side` has to send.

    Args:
        key: The shared key; without one the proof is empty.
        side: The side of the sender, so that a proof can't be reflected.
        dialling_hello: The hello frame of the dialling host.
        accepting_hello: The hello frame of the accepting host.
    """
    if key is None:
        return b""
    signed_bytes = side.value + dialling_hello + accepting_hello
    return hmac.digest(key.encode(), signed_bytes, _HMAC_DIGEST)


async def perform_handshake(
    side: Side,
    key: str | None,
    own: ttypes.Hello,
    reader: FrameReader,
    send: Send,
    admit: Callable[[ttypes.Hello], None],
) -> ttypes.Hello:
    """Exchange hellos and proofs and return the other host's hello.

    Args:
        side: The side of this host.
        key: The shared key, or None.
        own: This host's hello, with a fresh nonce.
        reader: Reads the other host's frames.
        send: Sends frames to it.
        admit: Checks the other host's hello; raises LinkClosed to reject it.

    Raises:
        LinkClosed: The other host was rejected or has another key.
    """
    own_frame = encode_frame(ttypes.Frame(hello=own))
    if side is Side.DIALLING:
        await send(own_frame)
    theirs = await _receive_hello(reader)
    # The proof covers the bytes as received, because a newer host may send
    # fields that this version doesn't know.
    hello_frames = own_frame, reader.last_frame
    admit(theirs)
    if side is Side.ACCEPTING:
        await send(own_frame)
        hello_frames = reader.last_frame, own_frame
    if side is Side.DIALLING:
        await send(
            _proof_frame(compute_proof(key, Side.DIALLING, *hello_frames))
        )
        await _check_proof(
            reader, compute_proof(key, Side.ACCEPTING, *hello_frames)
        )
    else:
        await _check_proof(
            reader, compute_proof(key, Side.DIALLING, *hello_frames)
        )
        await send(
            _proof_frame(compute_proof(key, Side.ACCEPTING, *hello_frames))
        )
    return theirs


async def _receive_hello(reader: FrameReader) -> ttypes.Hello:
    hello = (await reader.receive()).hello
    if hello is None:
        raise LinkClosed(CloseReason.UNEXPECTED_FRAME)
    if hello.version != PROTOCOL_VERSION:
        raise LinkClosed(CloseReason.WRONG_VERSION)
    if len(hello.nonce) != NONCE_BYTES:
        raise LinkClosed(CloseReason.MALFORMED_FRAME)
    return hello


def _proof_frame(mac: bytes) -> bytes:
    return encode_frame(ttypes.Frame(proof=ttypes.Proof(mac=mac)))


async def _check_proof(reader: FrameReader, expected: bytes) -> None:
    proof = (await reader.receive()).proof
    if proof is None:
        raise LinkClosed(CloseReason.UNEXPECTED_FRAME)
    if not hmac.compare_digest(proof.mac, expected):
        raise LinkClosed(CloseReason.WRONG_KEY)
