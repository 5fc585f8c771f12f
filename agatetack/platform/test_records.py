"""Test the decoding of the platform's records and headers."""

import contextlib
import json

import hypothesis
import orjson
import pytest
import trio
from hypothesis import strategies as st

from agatetack.config.document import BadDocument
from agatetack.config.route import RequestClass, SplitPart
from agatetack.hosts.host_list import HostState
from agatetack.hosts.listed_target import BadRegistration
from agatetack.identity.keys import hash_key
from agatetack.platform.configuration import ConfigurationDecoder
from agatetack.platform.figures import read_seconds
from agatetack.platform.load_header import CommaSeparatedLoadReader
from agatetack.platform.registrations import MAX_SLOTS, ServerDecoder
from agatetack.targets.load import ReportedState
from agatetack.testing.store_fleet import (
    configuration,
    route_fields,
    template_settings,
)

MANY = hypothesis.settings(derandomize=True, max_examples=200, deadline=None)


@pytest.mark.parametrize(
    ("text", "seconds"),
    [("1500ms", 1.5), ("2.5s", 2.5), ("0ms", 0.0), ("3s", 3.0)],
)
def test_times(text, seconds):
    assert read_seconds(text) == pytest.approx(seconds)


@pytest.mark.parametrize("text", ["", "5", "s", "1m", None, 3, "x ms"])
def test_what_is_no_time(text):
    with pytest.raises(ValueError):
        read_seconds(text)


@pytest.mark.parametrize(
    ("fields", "name", "value"),
    [
        ({}, "request_class", RequestClass.FAST),
        (
            {"route_type": "non_idempotent"},
            "request_class",
            RequestClass.ONCE,
        ),
        ({"route_type": "download"}, "request_class", RequestClass.WHOLE),
        ({"route_type": "upload"}, "request_class", RequestClass.ONCE),
        ({"timeout": "1500ms"}, "timeout_seconds", 1.5),
        ({"target_latency": "400ms"}, "target_latency_seconds", 0.4),
        ({"max_attempts": 1}, "max_attempts", 1),
        ({"priority": 0}, "priority", 0),
        ({"host": "UPPER.example"}, "host", "upper.example"),
        (
            {
                "service": None,
                "traffic_split": [
                    {"service": "s1", "weight": 90},
                    {"service": "s2", "weight": 10},
                ],
            },
            "split",
            (SplitPart("s1", 90.0), SplitPart("s2", 10.0)),
        ),
    ],
)
def test_a_route_is_read(fields, name, value):
    content = configuration(7, route_fields(**fields))
    document = ConfigurationDecoder().decode(content)
    assert document.version == 7
    assert getattr(document.routes[0], name) == value


def test_limits_and_load_paths_are_read():
    document = ConfigurationDecoder().decode(configuration(1, route_fields()))
    assert document.limits.idle_timeout_seconds == 15.0
    assert document.limits.max_header_bytes == 16384
    assert document.services[0].load_path == "/load"


def tenant_fields(**fields):
    return {"name": "acme", "api_keys": ["secret-1"], **fields}


def with_tenants(*tenants, **fields):
    content = orjson.loads(configuration(1, route_fields(**fields)))
    return orjson.dumps({**content, "tenants": list(tenants)})


def test_tenants_are_read():
    content = with_tenants(
        tenant_fields(priority=1, rate_per_s=154, burst_size=20.5),
        tenant_fields(name="other", api_keys=[]),
        public=True,
    )
    document = ConfigurationDecoder().decode(content)
    first, second = document.accounts.by_id.values()
    assert document.accounts.by_key[hash_key(b"secret-1")] is first
    assert (first.id, first.priority) == ("acme", 1)
    assert (first.requests_per_second, first.burst) == (154.0, 20.5)
    assert (second.priority, second.requests_per_second) == (None, 0.0)
    assert document.accounts.public_routes == {document.routes[0].id}


def test_a_document_without_tenants_has_no_accounts():
    content = configuration(1, route_fields())
    assert ConfigurationDecoder().decode(content).accounts is None


# Guards against an API key in the log line about a document that is refused.
@pytest.mark.parametrize(
    "tenants",
    [
        [tenant_fields(), tenant_fields(name="b")],
        [tenant_fields(), tenant_fields(api_keys=["secret-2"])],
        [tenant_fields(name=None)],
        [tenant_fields(name="a b")],
        [tenant_fields(api_keys=["secret-1", 5])],
        [tenant_fields(api_keys="secret-1")],
        [tenant_fields(api_keys=["secret-1", "\u00e9"])],
        [tenant_fields(rate_per_s=-1)],
        [tenant_fields(rate_per_s="many")],
        [tenant_fields(burst_size="1e999")],
        [tenant_fields(priority="high")],
        ["secret-1"],
    ],
)
def test_malformed_tenants_are_refused_without_naming_a_key(tenants):
    with pytest.raises(BadDocument) as error:
        ConfigurationDecoder().decode(with_tenants(*tenants))
    assert "secret" not in str(error.value)


def service_fields(**fields):
    return {"name": "svc-a", "health_path": "/load", **fields}


SOUND = configuration(1, route_fields())

MISTYPED = [
    configuration(1, route_fields(name=["a"])),
    configuration(1, route_fields(name=7)),
    configuration(1, route_fields(path_prefix=7)),
    configuration(1, route_fields(path_prefix=None)),
    SOUND.replace(b'"service":"svc-a"', b'"service":7'),
    SOUND.replace(b'"service":"svc-a"', b'"service":["svc-a"]'),
    SOUND.replace(
        b'"service":"svc-a"', b'"traffic_split":[{"service":7,"weight":1}]'
    ),
    configuration(1, route_fields(timeout="nans")),
    configuration(1, route_fields(timeout="infs")),
    configuration(1, route_fields(), services=[service_fields(name=7)]),
    configuration(1, route_fields(), services=[service_fields(name=["x"])]),
    configuration(1, route_fields(), services=[service_fields(health_path=7)]),
    configuration("1" + "0" * 400, route_fields()),
]
"""Documents with a value of another type or out of range."""


@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"{",
        b"[]",
        b"{}",
        b'{"version": "x", "routes": [], "services": []}',
        configuration(1, route_fields(route_type="odd")),
        configuration(1, route_fields(timeout="soon")),
        configuration(1, route_fields(host=None)),
        configuration(1, route_fields(), routes=7),
        *MISTYPED,
    ],
)
def test_a_document_that_cannot_be_read_is_told(content):
    with pytest.raises(BadDocument):
        ConfigurationDecoder().decode(content)


def info(**changes):
    fields = {"service": "s", "version": "v1", "zone": "z", "slots": 3}
    return {**fields, **changes}


def status(**changes):
    fields = {"state": "ready", "sequence": 4, "warmup_left": "0ms"}
    return {**fields, **changes}


def entry(**changes):
    fields = {
        "address": "10.0.0.9:8080",
        "info": {"service": "s", "version": "v1", "zone": "z", "slots": 3},
        "status": {"state": "ready", "sequence": 4, "warmup_left": "0ms"},
    }
    return orjson.dumps({**fields, **changes})


async def test_a_registration_is_read(autojump_clock):
    target = ServerDecoder().decode("i-1", entry())
    assert (target.id, target.ip, target.port) == ("i-1", "10.0.0.9", 8080)
    assert (target.service, target.failure_domain) == ("s", "z")
    assert (target.slots, target.warm_at) == (3, 0.0)
    assert target.state is HostState.LIVE
    status = {"state": "draining", "sequence": 5, "warmup_left": "2500ms"}
    target = ServerDecoder().decode("i-1", entry(status=status))
    assert target.state is HostState.LEAVING
    assert target.warm_at == trio.current_time() + 2.5


@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"7",
        b"\xff\xfe",
        b"[" * 100_000,
        b'{"a":' * 2_000,
        b" " * 20_000 + entry(),
        entry(address="10.0.0.9"),
        entry(address="10.0.0.9:99999"),
        entry(address="10.0.0.9:0"),
        entry(address="10.0.0.999:80"),
        entry(address="server-9:80"),
        entry(address=["10.0.0.9", 80]),
        entry(info={}),
        entry(info=info(zone=5)),
        entry(info=info(service="")),
        entry(info=info(service=["s"])),
        entry(info=info(version=None)),
        entry(info=info(slots=True)),
        entry(info=info(slots=0)),
        entry(info=info(slots=-3)),
        entry(info=info(slots=1_000_000_000)),
        entry(info=info(slots="3")),
        entry(info=info(slots=2.7)),
        entry(status={"state": "odd"}),
        entry(status=status(state="odd")),
        entry(status=status(state=["ready"])),
        entry(status=status(sequence="4")),
        entry(status=status(sequence=-1)),
        entry(status=status(warmup_left="nans")),
        entry(status=status(warmup_left="-5s")),
        entry(status=status(warmup_left="1e400s")),
        entry(status=status(warmup_left="99999s")),
        entry(status=status(warmup_left=None)),
        entry(born="1764720000000"),
        entry(born=1764720000000.5),
        entry(born=True),
        entry(born=None),
        entry(born=-1),
    ],
)
def test_a_registration_that_cannot_be_read_is_told(content):
    with pytest.raises(BadRegistration, match="i-1"):
        ServerDecoder().decode("i-1", content)


@pytest.mark.parametrize(
    "key", ["", "i 1", "i-1\r\nhost: x", "i-\u00e9", "i" * 201]
)
def test_a_key_that_cannot_name_a_target_is_told(key):
    with pytest.raises(BadRegistration):
        ServerDecoder().decode(key, entry())


@MANY
@hypothesis.given(content=st.binary(max_size=300))
def test_any_bytes_are_a_registration_or_told(content):
    with contextlib.suppress(BadRegistration):
        ServerDecoder().decode("i-1", content)


JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=5)
    | st.sampled_from(["ready", "10.0.0.9:8080", "0ms", "1s"]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["state", "sequence", "slots", "zone", "service"]),
            inner,
            max_size=3,
        )
    ),
    max_leaves=6,
)


@MANY
@hypothesis.given(
    name=st.sampled_from(["address", "info", "status", "born"]), value=JSON
)
def test_any_field_is_read_or_told(name, value):
    content = json.dumps({**json.loads(entry()), name: value}).encode()
    try:
        target = ServerDecoder().decode("i-1", content)
    except BadRegistration:
        return
    assert 1 <= target.port <= 65535
    assert 1 <= target.slots <= MAX_SLOTS


@pytest.mark.parametrize(
    ("value", "in_flight", "slots", "slowness"),
    [
        (b"3,0,8", 3, 8, 1.0),
        (b"2,3,2,500", 5, 2, 5.0),
        (b"2, 1, 2, 100", 3, 2, 1.0),
        (b"0,0,0", 0, 1, 1.0),
        (b"", None, None, 1.0),
        (b"1,2", None, None, 1.0),
        (b"a,b,c", None, None, 1.0),
        (b"-1,0,2", None, None, 1.0),
        (b"nan,0,2", None, None, 1.0),
    ],
)
def test_a_load_header_is_read(value, in_flight, slots, slowness):
    reader = CommaSeparatedLoadReader(template_settings(1))
    load = reader.read({b"server-load": value})
    assert (load.in_flight, load.slots) == (in_flight, slots)
    assert load.slowness == slowness


@pytest.mark.parametrize(
    ("value", "leaves"),
    [
        (None, False),
        (b"1", True),
        (b" 1 ", True),
        (b"0", False),
        (b"", False),
        (b"yes", False),
        (b"-1", False),
        (b"1" * 65_536, False),
    ],
)
@pytest.mark.parametrize("load", [b"1,0,6,100", b"unreadable"])
def test_a_target_says_in_a_header_that_it_leaves(value, leaves, load):
    reader = CommaSeparatedLoadReader(template_settings(1))
    headers = {b"server-load": load}
    if value is not None:
        headers[b"server-leaving"] = value
    state = reader.read(headers).state
    assert (state is ReportedState.DRAINING) is leaves


@pytest.mark.parametrize(
    ("value", "seconds"),
    [
        (None, 0.0),
        (b"0", 0.0),
        (b"2900", 2.9),
        # An unreadable value means that the time is unknown, not that the
        # server is warm.
        (b"", None),
        (b"soon", None),
        (b"-1", None),
        (b"nan", None),
        (b"1e300", None),
    ],
)
def test_the_time_to_warm_up_is_read(value, seconds):
    reader = CommaSeparatedLoadReader(template_settings(1))
    headers = {b"server-load": b"1,0,6,100"}
    if value is not None:
        headers[b"warmup-remaining-ms"] = value
    assert reader.read(headers).warm_up_seconds == seconds


@pytest.mark.parametrize(
    ("names", "regions"),
    [
        (None, ()),
        ([], ()),
        (["north"], ("north",)),
        (["north", "south"], ("north", "south")),
    ],
)
def test_the_regions_of_a_route_are_read(names, regions):
    fields = route_fields()
    if names is not None:
        fields["allowed_regions"] = names
    document = ConfigurationDecoder().decode(configuration(1, fields))
    assert document.routes[0].regions == regions


def test_regions_that_are_no_list_are_refused():
    content = configuration(1, route_fields(allowed_regions="north"))
    with pytest.raises(BadDocument):
        ConfigurationDecoder().decode(content)


DOCUMENT = orjson.loads(
    with_tenants(
        tenant_fields(priority=1, rate_per_s=2, burst_size=3),
        timeout="1500ms",
        max_attempts=2,
        traffic_split=[{"service": "svc-a", "weight": 1}],
        allowed_regions=["north"],
        public=True,
    )
)
DOCUMENT["limits"] = {
    "max_header_bytes": 1000,
    "max_body_bytes": 1000,
    "header_timeout": "1s",
    "idle_timeout": "1s",
}
DOCUMENT["services"] = [service_fields(max_connections=3, warmup_per_s=2.5)]


def places(value, path=()):
    """Yield the path of each value inside a document."""
    items = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for name, inner in items:
        yield (*path, name)
        yield from places(inner, (*path, name))


ODD = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=5)
    | st.sampled_from(["nan", "1e999", "-1s", "9" * 5000, 10**400, "secret-2"]),
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(
            st.sampled_from(["name", "service", "weight"]), inner, max_size=2
        )
    ),
    max_leaves=4,
)


@MANY
@hypothesis.given(
    path=st.sampled_from(list(places(DOCUMENT))), value=ODD, drop=st.booleans()
)
def test_any_field_of_a_document_is_read_or_told(path, value, drop):
    """Guards against a document that ends every host that reads it."""
    document = json.loads(json.dumps(DOCUMENT))
    parent = document
    for name in path[:-1]:
        parent = parent[name]
    if drop:
        del parent[path[-1]]
    else:
        parent[path[-1]] = value
    try:
        ConfigurationDecoder().decode(json.dumps(document).encode())
    except BadDocument as error:
        assert "secret-1" not in str(error)


@MANY
@hypothesis.given(content=st.binary(max_size=200))
@hypothesis.example(content=b"[" * 100_000)
@hypothesis.example(content=b'{"routes":' * 5000)
def test_any_bytes_are_a_document_or_told(content):
    """Guards against bytes that are no JSON, or nested too deeply."""
    with pytest.raises(BadDocument):
        ConfigurationDecoder().decode(content)


FIGURE = (
    st.integers().map(str)
    | st.floats().map(str)
    | st.sampled_from(["", " 1", "1_0", "0x1", "1e9", "nan", "-0", "9" * 400])
).map(str.encode) | st.binary(max_size=6)


@MANY
@hypothesis.given(
    load=st.lists(FIGURE, max_size=6).map(b",".join),
    warm_up=FIGURE,
    leaving=FIGURE,
)
def test_any_load_header_is_read_or_left_out(load, warm_up, leaving):
    """Guards against a target whose header fails each of its answers."""
    reader = CommaSeparatedLoadReader(template_settings(1))
    found = reader.read(
        {
            b"server-load": load,
            b"warmup-remaining-ms": warm_up,
            b"server-leaving": leaving,
        }
    )
    if found.in_flight is not None:
        assert 0 <= found.in_flight < 2e6
        assert 1 <= found.slots < 1e6
        assert 0.01 <= found.slowness < 1e4
    if found.warm_up_seconds is not None:
        assert 0 <= found.warm_up_seconds <= 3600
