"""Send damaged and random messages: always a typed reply or a 400."""

import math

import hypothesis
import pytest
import trio
from hypothesis import strategies
from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.protocol.TJSONProtocol import TJSONProtocol
from thrift.Thrift import TMessageType
from thrift.transport.TTransport import TMemoryBuffer

from agatetack.generated.common import ttypes as common
from agatetack.generated.operators import Operators, ttypes
from agatetack.metrics import Metrics
from agatetack.operators import rpc
from agatetack.operators.access import Authenticator, Sender
from agatetack.operators.conftest import make_backend, make_settings
from agatetack.operators.host_calls import HostCalls
from agatetack.operators.route_calls import RouteCalls


class QuotingJson(TJSONProtocol):
    """Writes NaN and infinity in quotes, as Thrift's JSON is defined.

    The library writes them bare, which its own reader does not take.
    """

    def writeDouble(self, number):  # noqa: N802
        if math.isfinite(number):
            super().writeDouble(number)
        elif math.isnan(number):
            self.writeJSONString("NaN")
        else:
            self.writeJSONString("Infinity" if number > 0 else "-Infinity")


PROTOCOLS = (TBinaryProtocol, TCompactProtocol, QuotingJson)
SENDER = Sender(b"Bearer root-token", "127.0.0.1")
FEW = hypothesis.settings(
    derandomize=True, max_examples=150, deadline=None, database=None
)

texts = strategies.text(max_size=8) | strategies.just("r1")
numbers = strategies.integers(-(2**63), 2**63 - 1)
routes = strategies.builds(
    common.Route,
    id=texts,
    team=texts,
    service_name=texts,
    request_class=strategies.integers(-9, 9),
    path_prefix=texts,
    host=texts,
    deadline_seconds=strategies.floats(),
    max_body_bytes=numbers,
    requests_per_second=strategies.floats(),
    max_queue=strategies.integers(-(2**31), 2**31 - 1),
)
applies = strategies.builds(
    ttypes.ApplyRouteRequest,
    route=strategies.none() | routes,
    change_id=strategies.none() | texts,
    expected_version=strategies.none() | numbers,
    dry_run=strategies.none() | strategies.booleans(),
    timeout_ms=strategies.none() | numbers,
)


def encode(protocol, request):
    out = TMemoryBuffer()
    Operators.Client(protocol(out)).send_apply_route(request)
    return out.getvalue()


def answer(body, kind=rpc.ContentType.SNIFF):
    """Return the reply's kind of message and result, or None for a 400."""
    settings, metrics = make_settings(), Metrics()
    backend = make_backend(settings)
    dispatcher = rpc.Dispatcher(
        Authenticator(settings, metrics),
        metrics,
        RouteCalls(settings, backend),
        HostCalls(backend),
    )
    try:
        reply = trio.run(dispatcher.answer, body, kind, SENDER)
    except rpc.BadMessage:
        return None
    protocol = {b"[": TJSONProtocol, b"\x82": TCompactProtocol}.get(
        reply[:1], TBinaryProtocol
    )
    reader = protocol(TMemoryBuffer(reply))
    name, message_kind, _ = reader.readMessageBegin()
    if message_kind == TMessageType.EXCEPTION:
        return message_kind
    result = getattr(Operators, f"{name}_result")()
    result.read(reader)
    # A fault of the host itself would be told as this.
    unavailable = getattr(result, "unavailable", None)
    assert (
        unavailable is None
        or unavailable.reason != ttypes.UnavailableReason.INTERNAL_ERROR
    )
    return result


@pytest.mark.parametrize("number", [math.nan, math.inf, -math.inf])
@pytest.mark.parametrize("protocol", [*PROTOCOLS, TJSONProtocol])
def test_numbers_that_are_none_are_refused(protocol, number):
    route = common.Route("r9", "panel", "profiles", 1, "/r9", "", number)
    result = answer(encode(protocol, ttypes.ApplyRouteRequest(route, "c1")))
    if protocol is TJSONProtocol:
        # Written bare, it is no Thrift message.
        assert result is None
        return
    (finding,) = result.rejected.findings
    assert finding.place == "route.deadline_seconds"


@FEW
@hypothesis.given(strategies.sampled_from(PROTOCOLS), applies)
def test_any_values_get_a_typed_reply(protocol, request):
    result = answer(encode(protocol, request))
    told = [getattr(result, spec[2]) for spec in result.thrift_spec if spec]
    assert sum(value is not None for value in told) == 1


GOOD = ttypes.ApplyRouteRequest(
    common.Route("r9", "panel", "profiles", 1, "/r9"), "c1", 0
)


@FEW
@hypothesis.given(
    strategies.sampled_from(PROTOCOLS),
    strategies.integers(0, 200),
    strategies.binary(min_size=0, max_size=6),
    strategies.booleans(),
)
def test_damaged_messages_are_told(protocol, at, inserted, cut):
    body = encode(protocol, GOOD)
    rest = b"" if cut else body[at + len(inserted) :]
    answer(body[:at] + inserted + rest)


@FEW
@hypothesis.given(
    strategies.binary(max_size=60), strategies.sampled_from(rpc.ContentType)
)
def test_random_bytes_are_told(body, kind):
    answer(body, kind)


def nested_struct(protocol, depth):
    out = TMemoryBuffer()
    writer = protocol(out)
    writer.writeMessageBegin("get_status", TMessageType.CALL, 0)
    for _ in range(depth):
        writer.writeStructBegin("")
        writer.writeFieldBegin("", 12, 9)
    return out.getvalue()


def cut_in_number(protocol):
    body = encode(protocol, GOOD)
    return b"[1" if protocol is QuotingJson else body[:6]


def huge_list(protocol):
    out = TMemoryBuffer()
    writer = protocol(out)
    writer.writeMessageBegin("get_status", TMessageType.CALL, 0)
    writer.writeStructBegin("")
    writer.writeFieldBegin("", 15, 9)
    writer.writeListBegin(2, 2**31 - 1)
    return out.getvalue()


@pytest.mark.parametrize("protocol", PROTOCOLS)
@pytest.mark.parametrize(
    "make",
    [
        cut_in_number,
        huge_list,
        lambda protocol: nested_struct(protocol, 100_000),
    ],
)
def test_messages_made_to_exhaust_the_reader_are_refused(protocol, make):
    assert answer(make(protocol)) is None


def test_json_is_read_no_further_than_its_end(monkeypatch):
    reads = []
    read = TMemoryBuffer.read

    def count(self, size):
        reads.append(size)
        return read(self, size)

    monkeypatch.setattr(TMemoryBuffer, "read", count)
    assert answer(b"[1") is None
    assert len(reads) < 100
