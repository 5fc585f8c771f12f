"""Test the administration API over HTTP, through the generated code."""

import hashlib

from agatetack.config.route import RequestClass, Route
from agatetack.generated.common import ttypes as common
from agatetack.generated.operators import Operators, ttypes
from agatetack.ids import RouteId, ServiceId, TeamId
from agatetack.metrics import Metrics
from agatetack.operators.app import serve_operators
from agatetack.settings.defaults import default_settings
from agatetack.testing.memory_backend import MemoryBackend

TOKEN = "ann-token"


def make_settings(**operators):
    token = {
        "name": "ann",
        "team": "panel",
        "sha256": hashlib.sha256(TOKEN.encode()).hexdigest(),
        "roles": ["read", "change", "release"],
        "services": ["profiles"],
    }
    return default_settings(
        operators={
            "listen": {"ip": "127.0.0.1", "port": 0},
            "tokens": [token],
            **operators,
        }
    )


ROUTE = Route(
    RouteId("r1"),
    TeamId("panel"),
    ServiceId("profiles"),
    RequestClass.FAST,
    "/profiles",
)


async def test_thin(nursery):
    import httpcore
    from thrift.protocol.TBinaryProtocol import TBinaryProtocol
    from thrift.transport.TTransport import TMemoryBuffer

    settings = make_settings()
    backend = MemoryBackend(settings, [ROUTE])
    port = await nursery.start(serve_operators, settings, backend, Metrics())
    out = TMemoryBuffer()
    client = Operators.Client(TBinaryProtocol(out))
    client.send_list_routes(ttypes.ListRoutesRequest())
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request(
            "POST",
            f"http://127.0.0.1:{port}/api",
            headers={
                "content-type": "application/x-thrift",
                "authorization": f"Bearer {TOKEN}",
            },
            content=out.getvalue(),
        )
    assert response.status == 200
    reply = Operators.Client(TBinaryProtocol(TMemoryBuffer(response.content)))
    listed = reply.recv_list_routes()
    assert listed.routes[0].route.id == "r1"
    assert listed.routes[0].route.request_class == common.RequestClass.FAST
    nursery.cancel_scope.cancel()
