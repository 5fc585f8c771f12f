"""Test messages between hosts that are not what they should be."""

import contextlib

import hypothesis
import trio
from hypothesis import strategies as st

from agatetack.forwarding.messages import (
    decode_reply,
    encode_answer,
    encode_refusal,
    encode_request,
    to_request,
)
from agatetack.generated.forwarding.ttypes import (
    ForwardedAnswer,
    ForwardedRefusal,
    ForwardedRequest,
    ForwardReply,
    HeaderField,
)
from agatetack.messages import Answer, BytesBody, Header
from agatetack.outcomes import RefusalReason, refuse
from agatetack.testing.targets import make_request
from agatetack.thrift_codec import MalformedMessage, decode, encode

MANY = hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
NUMBERS = st.integers(-(2**31), 2**31 - 1)
TEXTS = st.text(max_size=5) | st.sampled_from(["queue-full", "not-run"])
HEADERS = st.lists(
    st.builds(HeaderField, name=st.binary(max_size=4), value=st.binary()),
    max_size=3,
)


def read(payload):
    """Read a payload as both kinds of message, as a host does."""
    with contextlib.suppress(MalformedMessage):
        to_request(decode(ForwardedRequest, payload))
    for method in (b"GET", b"HEAD"):
        with contextlib.suppress(MalformedMessage):
            decode_reply(payload, method)


def in_loop(function, *args):
    """Run a function that reads trio's clock."""

    async def main():
        function(*args)

    trio.run(main)


def sound_payloads():
    answer = Answer(200, [Header(b"a", b"b")], BytesBody(b"c"))
    refusal = refuse(RefusalReason.QUEUE_FULL, "full", trio.current_time() + 1)
    return [
        encode_request(1, make_request(), b"content"),
        encode_answer(answer, 1, b"c"),
        encode_refusal(refusal),
    ]


@MANY
@hypothesis.given(payload=st.binary(max_size=80))
def test_any_bytes_are_read_or_told(payload):
    """Guards against a peer of another version that ends this host."""
    in_loop(read, payload)


@MANY
@hypothesis.given(
    number=st.integers(0, 2),
    at=st.integers(0, 200),
    inserted=st.binary(max_size=6),
    dropped=st.integers(0, 6),
)
def test_any_changed_message_is_read_or_told(number, at, inserted, dropped):
    """Guards against a message that was damaged or has other fields."""

    def check():
        payload = sound_payloads()[number]
        at_byte = at % len(payload)
        rest = payload[at_byte + dropped :]
        read(payload[:at_byte] + inserted + rest)

    in_loop(check)


@MANY
@hypothesis.given(
    reply=st.builds(
        ForwardReply,
        answer=st.none()
        | st.builds(
            ForwardedAnswer,
            status=NUMBERS,
            headers=HEADERS,
            body=st.binary(max_size=9),
            length=st.none() | NUMBERS,
        ),
        refusal=st.none()
        | st.builds(
            ForwardedRefusal,
            reason=TEXTS,
            detail=TEXTS,
            outcome=TEXTS,
            retry_ms=st.none() | NUMBERS,
        ),
    )
)
def test_any_values_of_a_reply_are_read_or_told(reply):
    """Guards against values that no host of this version sends."""
    in_loop(read, encode(reply))


@MANY
@hypothesis.given(
    request=st.builds(
        ForwardedRequest,
        id=NUMBERS,
        request_id=TEXTS,
        caller=TEXTS,
        method=st.binary(max_size=4),
        path=st.binary(max_size=4),
        host=st.binary(max_size=4),
        headers=HEADERS,
        body=st.binary(max_size=9),
        left_ms=NUMBERS,
        key=st.none() | TEXTS,
    )
)
def test_any_values_of_a_request_are_read(request):
    """Guards against values that no host of this version sends."""
    in_loop(read, encode(request))
