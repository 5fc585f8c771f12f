"""Test that an incomplete or malformed message raises `MalformedMessage`."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from agatetack.generated.keyed import ttypes as keyed
from agatetack.generated.measure import ttypes as measure
from agatetack.generated.quarantine import ttypes as quarantine
from agatetack.generated.quotas import ttypes as quotas
from agatetack.generated.targets import ttypes as targets
from agatetack.thrift_codec import MalformedMessage, decode, encode

RECORD = keyed.Record("k", b"v", 7)
RECORDS = keyed.Records(8, False, [RECORD], True)
MESSAGES = [
    RECORD,
    RECORDS,
    keyed.TopicEnd("documents", 8, 0, 7, RECORDS),
    keyed.TopicEnds([keyed.TopicEnd("documents", 8)]),
    keyed.FetchRecords("documents", 7),
    keyed.StartRequest("h1", b"{}", True),
    keyed.StartTopic("documents", RECORDS),
    keyed.StartReply([keyed.StartTopic("documents", RECORDS)]),
    keyed.ProofRequest("documents", 900, 8, 1),
    keyed.ProofReply("documents", -20, 8, 1, True),
    measure.LoadSample(1, 2),
    measure.LoadSamples([measure.LoadSample(1, 2)]),
    measure.TargetSign("t1", 1),
    measure.InFlightCount(1, 2),
    measure.InFlightCounts([measure.InFlightCount(1, 2)]),
    quarantine.CrashNotice(b"\0" * 16, 1),
    quotas.AccountUse(1, 2, 3, 4),
    quotas.QuotaUse(1, 2, [quotas.AccountUse(1, 2, 3, 4)], 5),
    quotas.AccountShare(1, 2, 3),
    quotas.QuotaShares(1, 2, [quotas.AccountShare(1, 2, 3)]),
    targets.TargetDrain("t1", True, 1),
    targets.TargetDrains([targets.TargetDrain("t1", True, 1)]),
]
"""One message of each type that hosts exchange, except requests."""


def required_fields(message):
    """Return the required fields of a message."""
    found = []
    for name in message.__slots__:
        value = getattr(message, name)
        setattr(message, name, None)
        try:
            message.validate()
        except Exception:
            found.append(name)
        setattr(message, name, value)
    return found


MISSING = [
    pytest.param(message, name, id=f"{type(message).__name__}-{name}")
    for message in MESSAGES
    for name in required_fields(message)
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_a_message_comes_back_as_it_was_sent(message):
    assert decode(type(message), encode(message)) == message


@pytest.mark.parametrize(("message", "name"), MISSING)
def test_a_message_without_a_required_field_is_refused(message, name):
    value = getattr(message, name)
    setattr(message, name, None)
    try:
        payload = encode(message)
    finally:
        setattr(message, name, value)
    with pytest.raises(MalformedMessage):
        decode(type(message), payload)


@pytest.mark.parametrize(
    "message",
    [
        keyed.TopicEnds([keyed.TopicEnd("documents")]),
        keyed.TopicEnds(
            [keyed.TopicEnd("documents", 8, news=keyed.Records(whole=True))]
        ),
        keyed.StartReply([keyed.StartTopic("documents")]),
        keyed.Records(8, False, [keyed.Record("k")]),
        measure.LoadSamples([measure.LoadSample(1)]),
        measure.InFlightCounts([measure.InFlightCount(1)]),
    ],
    ids=lambda m: type(m).__name__,
)
def test_a_part_without_a_required_field_is_refused(message):
    with pytest.raises(MalformedMessage):
        decode(type(message), encode(message))


def kinds():
    return st.sampled_from([type(message) for message in MESSAGES])


@settings(max_examples=400, derandomize=True, deadline=None)
@given(kinds(), st.binary(max_size=200))
def test_any_bytes_are_a_whole_message_or_refused(kind, payload):
    try:
        message = decode(kind, payload)
    except MalformedMessage:
        return
    message.validate()


@settings(max_examples=400, derandomize=True, deadline=None)
@given(st.sampled_from(MESSAGES), st.data())
def test_damaged_messages_are_whole_or_refused(message, data):
    payload = bytearray(encode(message))
    place = data.draw(st.integers(0, len(payload) - 1))
    payload[place] = data.draw(st.integers(0, 255))
    try:
        decode(type(message), bytes(payload))
    except MalformedMessage:
        return
