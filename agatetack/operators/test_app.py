"""Test what the operators' address answers over HTTP."""

import dataclasses
import html.parser

import httpcore
import pytest
from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.protocol.TJSONProtocol import TJSONProtocol
from thrift.Thrift import TApplicationException
from thrift.transport.TTransport import TMemoryBuffer

from agatetack.generated.common import ttypes as common
from agatetack.generated.operators import Operators, ttypes
from agatetack.ids import RouteId
from agatetack.lifecycle.phase import Phase
from agatetack.metrics import Metrics
from agatetack.operators import rpc
from agatetack.operators.app import serve_operators
from agatetack.operators.conftest import make_settings
from agatetack.operators.refusals import Unavailable, UnavailableReason
from agatetack.outcomes import RefusalReason

ANN = {"authorization": "Bearer ann-token"}
VENDOR = "application/vnd.apache.thrift."


async def fetch(served, method, path, headers=None, content=b""):
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request(
            method, served.url + path, headers=headers or {}, content=content
        )


async def call(served, name, request, **fields):
    """Return the result of one call, as a generated client would."""
    protocol = fields.pop("protocol", TBinaryProtocol)
    kind = fields.pop("kind", "application/x-thrift")
    out = TMemoryBuffer()
    getattr(Operators.Client(protocol(out)), f"send_{name}")(request)
    response = await fetch(
        served,
        "POST",
        "/api",
        {"content-type": kind, **fields.pop("headers", ANN)},
        out.getvalue(),
    )
    assert response.status == 200
    reply = Operators.Client(protocol(TMemoryBuffer(response.content)))
    return getattr(reply, f"recv_{name}")()


@pytest.mark.parametrize(
    ("kind", "protocol"),
    [
        ("application/x-thrift", TBinaryProtocol),
        ("application/x-thrift", TCompactProtocol),
        ("application/x-thrift", TJSONProtocol),
        (VENDOR + "binary", TBinaryProtocol),
        (VENDOR + "compact; charset=x", TCompactProtocol),
        (VENDOR + "json", TJSONProtocol),
    ],
)
async def test_every_encoding_is_answered_in_kind(served, kind, protocol):
    request = ttypes.ListRoutesRequest()
    listed = await call(
        served, "list_routes", request, kind=kind, protocol=protocol
    )
    assert [record.route.id for record in listed.routes] == ["r1"]
    assert listed.routes[0].route.request_class == common.RequestClass.FAST


@pytest.mark.parametrize(
    ("name", "request_", "headers", "error"),
    [
        (
            "get_status",
            ttypes.GetStatusRequest(),
            {},
            ttypes.AccessDenied,
        ),
        (
            "drain_host",
            ttypes.DrainHostRequest(),
            ANN,
            ttypes.AccessDenied,
        ),
        (
            "get_route",
            ttypes.GetRouteRequest("none"),
            ANN,
            ttypes.NotFound,
        ),
        ("get_route", ttypes.GetRouteRequest(), ANN, ttypes.InvalidRequest),
        (
            "delete_route",
            ttypes.DeleteRouteRequest("r1", "c", 7),
            ANN,
            ttypes.Unavailable,
        ),
    ],
)
async def test_refusals_arrive_as_their_type(
    served, name, request_, headers, error
):
    with pytest.raises(error):
        await call(served, name, request_, headers=headers)


async def test_denied_calls_are_counted(served):
    wrong = {"authorization": "Bearer guess"}
    with pytest.raises(ttypes.AccessDenied):
        await call(
            served, "get_status", ttypes.GetStatusRequest(), headers=wrong
        )
    metrics = (await fetch(served, "GET", "/metrics")).content.decode()
    assert 'operators_denied_total{problem="token-wrong"} 1' in metrics
    assert 'problem="role-missing"} 0' in metrics


async def test_metrics_are_those_of_the_library(served):
    response = await fetch(served, "GET", "/metrics")
    body, headers = served.metrics.render()
    assert sorted(response.content.splitlines()) == sorted(body.splitlines())
    told = dict(response.headers)[b"content-type"].decode()
    assert told == headers["Content-Type"]


async def test_a_fault_of_the_host_is_no_traceback(served, monkeypatch):
    def fail():
        raise RuntimeError("secret detail")

    monkeypatch.setattr(served.backend, "status", fail)
    with pytest.raises(ttypes.Unavailable) as caught:
        await call(served, "get_status", ttypes.GetStatusRequest())
    assert caught.value.reason == ttypes.UnavailableReason.INTERNAL_ERROR
    assert "secret" not in caught.value.message


async def test_an_unknown_call_is_told_as_thrift_does(served):
    with pytest.raises(TApplicationException) as caught:
        out = TMemoryBuffer()
        writer = TBinaryProtocol(out)
        writer.writeMessageBegin("no_such_call", 1, 5)
        response = await fetch(
            served,
            "POST",
            "/api",
            {"content-type": "application/x-thrift", **ANN},
            out.getvalue(),
        )
        reply = TBinaryProtocol(TMemoryBuffer(response.content))
        Operators.Client(reply).recv_get_status()
    assert caught.value.type == TApplicationException.UNKNOWN_METHOD


THRIFT = {"content-type": "application/x-thrift", **ANN}


@pytest.mark.parametrize(
    ("method", "path", "headers", "content", "status"),
    [
        ("GET", "/nothing", {}, b"", 404),
        ("GET", "/api", {}, b"", 405),
        ("POST", "/ready", {}, b"", 405),
        ("POST", "/api", {}, b"x", 415),
        ("POST", "/api", {"content-type": "text/plain"}, b"x", 415),
        ("POST", "/api", THRIFT, b"", 400),
        ("POST", "/api", THRIFT, b"\x80\x01\x00\x02\x00\x00\x00\x00", 400),
        ("POST", "/api", THRIFT, b"\x00" * (rpc.MAX_BODY_BYTES + 1), 413),
        ("GET", "/ready", {}, b"", 200),
        ("HEAD", "/ready", {}, b"", 200),
        ("GET", "/", {}, b"", 401),
        ("GET", "/", {"authorization": "Bearer guess"}, b"", 401),
        ("GET", "/", {"authorization": "Bearer writer-token"}, b"", 403),
        ("GET", "/", ANN, b"", 200),
    ],
)
async def test_http_status(served, method, path, headers, content, status):
    response = await fetch(served, method, path, headers, content)
    assert response.status == status
    assert b"Traceback" not in response.content


async def test_a_host_that_leaves_is_not_ready(served):
    served.backend.phase = Phase.DRAINING
    response = await fetch(served, "GET", "/ready")
    assert (response.status, response.content) == (
        503,
        b"the host is leaving\n",
    )


async def test_a_browser_is_told_when_to_come_back(nursery, served):
    settings = make_settings(failed_attempts_per_minute=1)
    port = await nursery.start(
        serve_operators, settings, served.backend, Metrics()
    )
    served.url = f"http://127.0.0.1:{port}"
    wrong = {"authorization": "Bearer guess"}
    assert (await fetch(served, "GET", "/", wrong)).status == 401
    response = await fetch(served, "GET", "/", wrong)
    assert response.status == 429
    assert 1 <= int(dict(response.headers)[b"retry-after"]) <= 60


class PageReader(html.parser.HTMLParser):
    """Collects the cells of a page's tables by the tables' ids."""

    def __init__(self):
        """Start without tables."""
        super().__init__()
        self.tables, self.tags, self.rows = {}, set(), []
        self.open_tags = []

    def handle_starttag(self, tag, attrs):
        self.tags.add(tag)
        if tag != "meta":
            self.open_tags.append(tag)
        if tag == "table":
            self.rows = self.tables[dict(attrs)["id"]] = []
        elif tag == "tr":
            self.rows.append([])

    def handle_endtag(self, tag):
        assert self.open_tags.pop() == tag

    def handle_data(self, data):
        if self.open_tags and self.open_tags[-1] in ("td", "th"):
            self.rows[-1].append(data)


async def read_page(served, token):
    headers = {"authorization": f"Bearer {token}"}
    response = await fetch(served, "GET", "/", headers)
    reader = PageReader()
    reader.feed(response.content.decode())
    assert reader.open_tags == []
    assert not reader.tags & {"script", "form", "button", "input", "a"}
    return reader.tables


async def test_the_status_page_shows_the_host(served):
    served.metrics.refused(RouteId("r1"), RefusalReason.QUEUE_FULL)
    tables = await read_page(served, "root-token")
    assert [row[0] for row in tables["routes"][1:]] == ["p1", "r1"]
    assert tables["targets-domain-a"][1][0] == "127.0.0.1:9001"
    row = dict(zip(*tables["targets-domain-a"], strict=True))
    assert (row["in flight"], row["report age (ms)"]) == ("1", "12")
    assert tables["targets-domain-b"][1][0] == "127.0.0.1:9002"
    assert ["queue-full", "r1", "1"] in tables["refusals"]
    assert tables["budget"][1][:2] == ["probes", "120"]


async def test_the_status_page_hides_other_teams(served):
    served.metrics.refused(RouteId("r1"), RefusalReason.QUEUE_FULL)
    tables = await read_page(served, "bob-token")
    assert [row[0] for row in tables["routes"][1:]] == ["p1"]
    assert "targets-domain-a" not in tables
    assert len(tables["refusals"]) == 1


async def test_names_cannot_inject_markup(served):
    record = served.backend.records.pop(RouteId("r1"))
    route = dataclasses.replace(record.route, path_prefix="/<b>&x")
    served.backend.records[route.id] = dataclasses.replace(record, route=route)
    tables = await read_page(served, "ann-token")
    assert "/<b>&x" in tables["routes"][1]


async def test_an_outage_of_the_log_says_when_to_come_back(served):
    served.backend.unavailable = Unavailable(
        UnavailableReason.LOG_UNAVAILABLE, "the log is out", 1000
    )
    with pytest.raises(ttypes.Unavailable) as caught:
        await call(served, "get_claims", ttypes.GetClaimsRequest("k"))
    assert caught.value.retry_after_ms == 1000


async def test_without_tokens_reads_from_loopback_are_answered(nursery, served):
    settings = make_settings(tokens=[])
    port = await nursery.start(
        serve_operators, settings, served.backend, Metrics()
    )
    served.url = f"http://127.0.0.1:{port}"
    status = await call(
        served, "get_status", ttypes.GetStatusRequest(), headers={}
    )
    assert status.host_id == settings.host.id
    with pytest.raises(ttypes.AccessDenied):
        await call(
            served,
            "delete_route",
            ttypes.DeleteRouteRequest("r1", "c", 0),
            headers={},
        )
