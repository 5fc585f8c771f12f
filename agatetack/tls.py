"""TLS contexts whose certificates are reloaded when their files change."""

import abc
import os
import ssl

import trio

from agatetack.errors import SettingsError
from agatetack.logs import PartLog
from agatetack.metrics import Metrics
from agatetack.settings.model import TlsFiles

POLL_SECONDS = 5.0
"""Interval at which the files are checked for changes."""

log = PartLog("tls")


class TlsFilesError(SettingsError):
    """PEM files can't be read, or don't match each other."""


class ReloadedTls(abc.ABC):
    """A TLS context of a listener or client, reloaded from its files.

    Attributes:
        current: The context that was loaded last.
    """

    def __init__(self, files: TlsFiles, name: str, metrics: Metrics):
        """Load `files`.

        Args:
            files: PEM files.
            name: Name of its use, such as `callers`, for logs and metrics.
            metrics: Counts loads and failures.

        Raises:
            TlsFilesError: The files can't be read, or don't match each other.
        """
        self.files = files
        self.name = name
        self.loads = metrics.counter(
            f"agatetack_{name}_tls_loads_total",
            "Loads of certificates, by result.",
        )
        self.stamp = self._read_stamp()
        self.current = self._load()

    async def run(self) -> None:
        """Reload the files when they change; keep the old context on errors."""
        while True:
            await trio.sleep(POLL_SECONDS)
            self.reload()

    def reload(self) -> None:
        """Load the files if they have changed and match each other."""
        stamp = self._read_stamp()
        if stamp is None or stamp == self.stamp:
            return
        try:
            self.current = self._load()
        except TlsFilesError as error:
            # The files may be replaced one after the other, so the stamp is
            # not stored and the next check tries them again.
            self.loads.inc({"result": "failed"})
            log.warning(
                "The certificate of %s was not loaded: %s", self.name, error
            )
            return
        self.stamp = stamp
        log.info("The certificate of %s was loaded again.", self.name)

    def _read_stamp(self) -> tuple[int, ...] | None:
        """Return the files' modification times, or None if one is missing."""
        paths = (self.files.certificate, self.files.key, self.files.authority)
        try:
            return tuple(os.stat(path).st_mtime_ns for path in paths if path)
        except (OSError, ValueError):
            return None

    def _load(self) -> ssl.SSLContext:
        context = self._new_context()
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        files = self.files
        try:
            context.load_cert_chain(files.certificate, files.key, _no_password)
        except (OSError, ValueError) as error:
            raise TlsFilesError(
                f"{self.name}: {files.certificate} and {files.key}"
                f" cannot be loaded: {_reason(error)}"
            ) from error
        if files.authority is not None:
            self._load_authority(context, files.authority)
        self.loads.inc({"result": "loaded"})
        return context

    def _load_authority(self, context: ssl.SSLContext, path: str) -> None:
        try:
            context.load_verify_locations(path)
        except (OSError, ValueError) as error:
            raise TlsFilesError(
                f"{self.name}: {path} cannot be loaded: {_reason(error)}"
            ) from error
        context.verify_mode = ssl.CERT_REQUIRED

    @abc.abstractmethod
    def _new_context(self) -> ssl.SSLContext:
        """Return a context without certificates."""


class ServerTls(ReloadedTls):
    """TLS of one listener; with an authority, clients need certificates.

    Attributes:
        context: The listener's context. Its SNI callback switches each
            handshake to the context that was loaded last.
    """

    def __init__(self, files: TlsFiles, name: str, metrics: Metrics):
        """Load `files`; see `ReloadedTls`."""
        super().__init__(files, name, metrics)
        self.context = self._load()
        self.context.sni_callback = self._choose

    def accept_stream(self, stream: trio.abc.Stream) -> trio.SSLStream:
        """Return an accepted connection as a TLS stream.

        The handshake takes place at the first send or receive.
        """
        return trio.SSLStream(
            stream, self.context, server_side=True, https_compatible=True
        )

    def _choose(
        self, handshake: ssl.SSLObject, name: str | None, _: ssl.SSLContext
    ) -> None:
        handshake.context = self.current

    def _new_context(self) -> ssl.SSLContext:
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        # hypercorn would also support HTTP/2; one protocol is simpler.
        context.set_alpn_protocols(["http/1.1"])
        return context


class ClientTls(ReloadedTls):
    """TLS of calls to peers, whose certificates prove that they are peers.

    The authority is private to the fleet, so every holder of a certificate of
    it is a peer. Host names are not checked: hosts are replaced at any time
    and are reached by IP addresses, which no certificate could list in
    advance.
    """

    def __init__(self, files: TlsFiles, name: str, metrics: Metrics):
        """Load `files`; see `ReloadedTls`."""
        if files.authority is None:
            raise TlsFilesError(f"{name}: an authority is needed")
        super().__init__(files, name, metrics)

    async def open_stream(self, ip: str, port: int) -> trio.SSLStream:
        """Connect and return a TLS stream.

        The handshake takes place at the first send or receive.

        Raises:
            OSError: No connection could be opened.
        """
        stream = await trio.open_tcp_stream(ip, port)
        return trio.SSLStream(stream, self.current, https_compatible=True)

    def _new_context(self) -> ssl.SSLContext:
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.check_hostname = False
        return context


def _no_password() -> str:
    """Reject an encrypted key, as OpenSSL would ask for its password."""
    raise ValueError("the key is encrypted")


def _reason(error: Exception) -> str:
    return getattr(error, "strerror", None) or str(error)
