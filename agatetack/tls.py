"""Serve TLS with certificates that are read again when their files change."""

import os
import ssl

import trio

from agatetack.logs import PartLog
from agatetack.metrics import Metrics
from agatetack.settings.model import TlsFiles

POLL_SECONDS = 5.0
"""How often the files are looked at."""

log = PartLog("tls")


class ServerTls:
    """The TLS of one listener.

    Attributes:
        context: What the listener uses; it hands each handshake to the
            context that was loaded last.
        current: The context that was loaded last.
    """

    def __init__(self, files: TlsFiles, name: str, metrics: Metrics):
        """Load `files`.

        Args:
            files: PEM files; with an authority, clients need a certificate.
            name: The listener, for logs and counters.
            metrics: Counts loads and failures.

        Raises:
            OSError: The files cannot be read, or do not fit together.
        """
        self.files = files
        self.name = name
        self.loads = metrics.counter(
            f"agatetack_{name}_tls_loads_total",
            "Loads of certificates, by result.",
        )
        self.stamp = self._read_stamp()
        self.current = self._load()
        self.context = self._load()
        self.context.sni_callback = self._choose

    async def run(self) -> None:
        """Load the files again whenever they change; keep what works."""
        while True:
            await trio.sleep(POLL_SECONDS)
            self.reload()

    def reload(self) -> None:
        """Load the files if they have changed and fit together."""
        stamp = self._read_stamp()
        if stamp is None or stamp == self.stamp:
            return
        try:
            self.current = self._load()
        except OSError as error:
            # The files may be replaced one after the other, so the same
            # stamp is tried again at the next look.
            self.loads.inc({"result": "failed"})
            log.warning(
                "The certificate of %s was not loaded: %s", self.name, error
            )
            return
        self.stamp = stamp
        log.info("The certificate of %s was loaded again.", self.name)

    def _choose(
        self, handshake: ssl.SSLObject, name: str | None, _: ssl.SSLContext
    ) -> None:
        handshake.context = self.current

    def _read_stamp(self) -> tuple[int, ...] | None:
        """Return the files' times of change, or None if one is missing."""
        paths = (self.files.certificate, self.files.key, self.files.authority)
        try:
            return tuple(os.stat(path).st_mtime_ns for path in paths if path)
        except OSError:
            return None

    def _load(self) -> ssl.SSLContext:
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.load_cert_chain(self.files.certificate, self.files.key)
        if self.files.authority is not None:
            context.load_verify_locations(self.files.authority)
            context.verify_mode = ssl.CERT_REQUIRED
        # Both protocols of hypercorn would do; one keeps it simple.
        context.set_alpn_protocols(["http/1.1"])
        self.loads.inc({"result": "loaded"})
        return context
