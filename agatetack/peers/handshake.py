"""Let two hosts prove to each other who they are when a connection opens.

The dialling host sends its hello, the accepting host answers with its own,
then each proves that it holds the shared key by an HMAC over both hellos. The
nonces in them are fresh, so that no proof serves twice, and the accepting
host proves itself last, so that nobody learns a proof without the key.
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
"""Bytes of randomness that each host adds to a connection's proofs."""

_DIGEST = "sha256"

Send = Callable[[bytes], Awaitable[None]]
"""Sends the bytes of one frame."""


class Side(enum.Enum):
    """Which end of a connection a host is; part of its proof."""

    DIALLING = b"dialling"
    ACCEPTING = b"accepting"


def new_nonce() -> bytes:
    """Return fresh random bytes for one hello."""
    return secrets.token_bytes(NONCE_BYTES)


def proof_of(key: str | None, side: Side, dialled: bytes, met: bytes) -> bytes:
    """Return what the host on `side` has to send to prove itself.

    Args:
        key: The shared key; without one the proof is empty.
        side: Which end proves itself, so that no proof can be reflected.
        dialled: The hello frame of the dialling host.
        met: The hello frame of the accepting host.
    """
    if key is None:
        return b""
    text = side.value + dialled + met
    return hmac.digest(key.encode(), text, _DIGEST)


async def shake_hands(
    side: Side,
    key: str | None,
    own: ttypes.Hello,
    reader: FrameReader,
    send: Send,
    admit: Callable[[ttypes.Hello], None],
) -> ttypes.Hello:
    """Exchange hellos and proofs and return the other host's hello.

    Args:
        side: Which end of the connection this host is.
        key: The shared key, or None.
        own: This host's hello, with a fresh nonce.
        reader: Reads the other host's frames.
        send: Sends frames to it.
        admit: Checks the other host's hello; raises LinkClosed.

    Raises:
        LinkClosed: The other host isn't admitted or holds another key.
    """
    own_frame = encode_frame(ttypes.Frame(hello=own))
    if side is Side.DIALLING:
        await send(own_frame)
    theirs = await _receive_hello(reader)
    # The proof covers the bytes as they came, as a newer host may send fields
    # that are not known here.
    texts = own_frame, reader.last_frame
    admit(theirs)
    if side is Side.ACCEPTING:
        await send(own_frame)
        texts = reader.last_frame, own_frame
    if side is Side.DIALLING:
        await send(_proof_frame(proof_of(key, Side.DIALLING, *texts)))
        await _check_proof(reader, proof_of(key, Side.ACCEPTING, *texts))
    else:
        await _check_proof(reader, proof_of(key, Side.DIALLING, *texts))
        await send(_proof_frame(proof_of(key, Side.ACCEPTING, *texts)))
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
