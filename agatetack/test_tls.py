"""Test that certificates are read again when their files change."""

import os

import pytest
import trustme

from agatetack.metrics import Metrics
from agatetack.operators.app import serve_operators
from agatetack.operators.calls import CallName
from agatetack.operators.client import CallFailed, OperatorsClient
from agatetack.operators.conftest import make_backend, make_settings
from agatetack.operators.requests import GetStatusRequest
from agatetack.settings.model import TlsFiles
from agatetack.tls import ServerTls


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
        """Write all files anew, or those of `names` only."""
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
            # The clock of some file systems is too coarse for a test.
            os.utime(self.paths[name], (self.version, self.version))

    def files(self):
        return TlsFiles(
            certificate=self.paths["certificate"], key=self.paths["key"]
        )


async def test_a_renewed_certificate_is_served(nursery, tmp_path, monkeypatch):
    monkeypatch.setattr("agatetack.tls.POLL_SECONDS", 0.01)
    authority = Authority(tmp_path)
    settings = make_settings(tls=authority.files().model_dump())
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
    assert tls.current is not before
    assert tls.loads.get({"result": "failed"}) == 1


def test_missing_files_are_told_at_the_start(tmp_path):
    files = TlsFiles(certificate=str(tmp_path / "none"), key="none")
    with pytest.raises(OSError):
        ServerTls(files, "operators", Metrics())
