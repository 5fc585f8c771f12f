"""Test listening before the program is loaded."""

import socket

import pytest
import trio

from agatetack import listeners
from agatetack.callers.server import CallerServer
from agatetack.errors import SettingsError
from agatetack.messages import Answer, BytesBody, Handler
from agatetack.metrics import Metrics
from agatetack.settings.defaults import default_settings
from agatetack.settings.start_checks import find_start_misfits
from agatetack.start import start_gateway, take_addresses

LOOPBACK = "127.0.0.1"


class HelloHandler(Handler):
    """Answers every request."""

    async def handle(self, request):
        return Answer(200, [], BytesBody(b"hello"))


@pytest.fixture(autouse=True)
def no_held_listeners():
    yield
    listeners.release_others([])


def listen_on_any_port(monkeypatch):
    monkeypatch.setenv(listeners.LISTEN_VARIABLE, f"{LOOPBACK}:0")
    assert listeners.listen_early() is None
    return listeners.held[LOOPBACK, 0].getsockname()[1]


async def test_a_request_sent_before_the_server_runs_is_answered(
    monkeypatch, nursery
):
    port = listen_on_any_port(monkeypatch)
    stream = await trio.open_tcp_stream(LOOPBACK, port)
    await stream.send_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    settings = default_settings(callers={"listen": f"{LOOPBACK}:0"})
    server = CallerServer(settings, HelloHandler(), Metrics())
    assert await nursery.start(server.run) == port
    assert not listeners.held
    with trio.fail_after(5):
        answer = await stream.receive_some()
    assert answer.startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize(
    ("text", "listens"),
    [
        ("", None),
        ("127.0.0.1", False),
        ("127.0.0.1:http", False),
        ("127.0.0.1:70000", False),
        ("203.0.113.1:80", False),
    ],
)
def test_an_address_that_is_no_good_is_named(monkeypatch, text, listens):
    monkeypatch.setenv(listeners.LISTEN_VARIABLE, text)
    problem = listeners.listen_early()
    assert not listeners.held
    if listens is None:
        assert problem is None
    else:
        assert text in problem


def test_a_listener_elsewhere_is_closed(monkeypatch):
    port = listen_on_any_port(monkeypatch)
    assert listeners.release_others([(LOOPBACK, port)]) == [f"{LOOPBACK}:0"]
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection((LOOPBACK, port), timeout=5)


# Guards against addresses that a start that failed still holds.
def test_settings_with_errors_hold_no_address(tmp_path):
    any_port = "{listen: 127.0.0.1:0}"
    with socket.create_server((LOOPBACK, 0)) as free:
        port = free.getsockname()[1]
    path = tmp_path / "settings.yaml"
    path.write_text(
        f"callers: {{listen: 127.0.0.1:{port}}}\noperators: {any_port}\n"
        f"peers: {any_port}\nclaims: {{partitions: -1}}"
    )
    with pytest.raises(SettingsError):
        start_gateway(str(path))
    assert not listeners.held


# Guards against a host that ends because it listens early on all addresses.
@pytest.mark.parametrize("text", ["0.0.0.0:0", ":0"])
def test_an_early_listener_on_all_addresses_is_closed(text, monkeypatch, capfd):
    monkeypatch.setenv(listeners.LISTEN_VARIABLE, text)
    assert listeners.listen_early() is None
    ((_, early),) = listeners.held.items()
    port = early.getsockname()[1]
    any_port = {"listen": f"{LOOPBACK}:0"}
    settings = default_settings(
        callers={"listen": f"{LOOPBACK}:{port}"},
        operators=any_port,
        peers=any_port,
        lifecycle={"address_wait_seconds": 0.01},
    )
    take_addresses(settings)
    errors = [each.message for each in find_start_misfits(settings)]
    assert not [text for text in errors if "cannot listen" in text]
    assert list(listeners.held) == [(LOOPBACK, port)]
    assert listeners.LISTEN_VARIABLE in capfd.readouterr().err
