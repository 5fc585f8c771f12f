"""Test that certificates are reloaded when their files change."""

import contextlib
import os
import pathlib

import pytest
import trio
import trustme
from cryptography.hazmat.primitives import serialization

from agatetack.metrics import Metrics
from agatetack.operators.app import serve_operators
from agatetack.operators.calls import CallName
from agatetack.operators.client import CallFailed, OperatorsClient
from agatetack.operators.conftest import make_backend, make_settings
from agatetack.operators.requests import GetStatusRequest
from agatetack.settings.model import TlsFiles
from agatetack.tls import ClientTls, ServerTls, TlsFilesError


class Authority:
    """An authority that writes PEM files for 127.0.0.1."""

    def __init__(self, directory):
        """Write into `directory`."""
        self.paths = {
            name: str(directory / f"{name}.pem")
            for name in ("certificate", "key", "authority")
        }
        self.version = 0
        self.renew()

    def renew(self, *names):
        """Write new versions of all files, or only those in `names`."""
        self.version += 1
        authority = trustme.CA()
        issued = authority.issue_cert("127.0.0.1")
        blobs = {
            "certificate": issued.cert_chain_pems[0],
            "key": issued.private_key_pem,
            "authority": authority.cert_pem,
        }
        for name in names or blobs:
            blobs[name].write_to_path(self.paths[name])
            # Some file systems' timestamps are too coarse for a test.
            os.utime(self.paths[name], (self.version, self.version))

    def files(self):
        return TlsFiles(
            certificate=self.paths["certificate"], key=self.paths["key"]
        )


async def test_a_renewed_certificate_is_served(nursery, tmp_path, monkeypatch):
    monkeypatch.setattr("agatetack.tls.POLL_SECONDS", 0.01)
    authority = Authority(tmp_path)
    settings = make_settings(tls=authority.files().as_map())
    port = await nursery.start(
        serve_operators, settings, make_backend(settings), Metrics()
    )

    async def ask():
        client = OperatorsClient(
            f"https://127.0.0.1:{port}",
            "root-token",
            authority.paths["authority"],
        )
        async with client:
            await client.call(CallName.GET_STATUS, GetStatusRequest())

    await ask()
    authority.renew()
    for _ in range(500):
        try:
            await ask()
            return
        except CallFailed:
            continue
    pytest.fail("the new certificate was never served")


def test_files_that_do_not_fit_leave_the_old_certificate(tmp_path):
    authority = Authority(tmp_path)
    metrics = Metrics()
    tls = ServerTls(authority.files(), "operators", metrics)
    before = tls.current
    authority.renew("certificate")
    tls.reload()
    assert tls.current is before
    os.remove(authority.paths["key"])
    tls.reload()
    assert tls.current is before
    authority.renew()
    tls.reload()
    after = tls.current
    tls.reload()
    assert tls.current is after is not before
    assert tls.loads.get({"result": "failed"}) == 1


BROKEN = [
    ({"certificate": "none"}, "No such file or directory"),
    ({"key": "none"}, "No such file or directory"),
    ({"authority": "none"}, "none cannot be loaded: No such file"),
    ({"certificate": "a\0b"}, "cannot be loaded: "),
    ({"authority": "{key}"}, "cannot be loaded: "),
    ({"key": "{encrypted}"}, "the key is encrypted"),
]


@pytest.mark.parametrize("kind", [ServerTls, ClientTls])
@pytest.mark.parametrize(("changes", "part"), BROKEN)
def test_files_that_cannot_be_loaded_are_told(kind, changes, part, tmp_path):
    authority = Authority(tmp_path)
    paths = authority.paths | {"encrypted": str(tmp_path / "encrypted.pem")}
    encrypt_key(paths["key"], paths["encrypted"])
    changed = {key: path.format(**paths) for key, path in changes.items()}
    files = TlsFiles(**(authority.paths | changed))
    with pytest.raises(TlsFilesError, match=f"^peers: .*{part}"):
        kind(files, "peers", Metrics())


def test_calls_to_peers_need_an_authority(tmp_path):
    with pytest.raises(TlsFilesError, match="an authority is needed"):
        ClientTls(Authority(tmp_path).files(), "peers", Metrics())


def encrypt_key(source, path):
    key = serialization.load_pem_private_key(
        pathlib.Path(source).read_bytes(), None
    )
    pathlib.Path(path).write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.BestAvailableEncryption(b"secret"),
        )
    )


async def exchange(nursery, server, client):
    """Return a peer's answer; `b""` if either side refuses the connection."""

    async def answer(stream):
        async with server.accept_stream(stream) as secure:
            with contextlib.suppress(trio.BrokenResourceError):
                await secure.send_all(await secure.receive_some())

    listeners = await nursery.start(trio.serve_tcp, answer, 0)
    port = listeners[0].socket.getsockname()[1]
    async with await client.open_stream("127.0.0.1", port) as stream:
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(b"hello")
            return await stream.receive_some()
    return b""


async def test_peers_of_one_authority_exchange_messages(nursery, tmp_path):
    files = TlsFiles(**Authority(tmp_path).paths)
    metrics = Metrics()
    server = ServerTls(files, "peers", metrics)
    client = ClientTls(files, "peers_dial", metrics)
    assert await exchange(nursery, server, client) == b"hello"


@pytest.mark.parametrize("stranger", ["server", "client"])
async def test_a_peer_of_another_authority_is_refused(
    stranger, nursery, tmp_path
):
    sides = {}
    for side in ("server", "client"):
        (tmp_path / side).mkdir()
        sides[side] = Authority(tmp_path / side)
    paths = {side: dict(sides[side].paths) for side in sides}
    # Only the stranger's certificate has an untrusted authority.
    trusted = "client" if stranger == "server" else "server"
    paths[stranger]["authority"] = paths[trusted]["authority"]
    metrics = Metrics()
    server = ServerTls(TlsFiles(**paths["server"]), "peers", metrics)
    client = ClientTls(TlsFiles(**paths["client"]), "dial", metrics)
    assert await exchange(nursery, server, client) == b""


async def test_both_sides_take_a_renewed_authority(nursery, tmp_path):
    authority = Authority(tmp_path)
    files = TlsFiles(**authority.paths)
    metrics = Metrics()
    server = ServerTls(files, "peers", metrics)
    client = ClientTls(files, "dial", metrics)
    authority.renew()
    client.reload()
    assert await exchange(nursery, server, client) == b""
    server.reload()
    assert await exchange(nursery, server, client) == b"hello"


def test_files_mended_without_a_new_time_are_loaded(tmp_path):
    authority = Authority(tmp_path)
    certificate = pathlib.Path(authority.paths["certificate"])
    fitting = certificate.read_bytes()
    tls = ServerTls(authority.files(), "operators", Metrics())
    before = tls.current
    authority.renew("certificate")
    tls.reload()
    certificate.write_bytes(fitting)
    os.utime(certificate, (authority.version, authority.version))
    tls.reload()
    after = tls.current
    tls.reload()
    assert tls.current is after is not before
