"""Try, before a host starts, what only this host can tell of its settings."""

import socket
from collections.abc import Iterator

from agatetack.settings.cross_checks import find_misfits
from agatetack.settings.findings import KeyPath
from agatetack.settings.misfit import Misfit, value_at
from agatetack.settings.model import Endpoint, Settings, TlsFiles

LISTENERS = ("callers", "operators", "peers")
"""The sections with an address to listen on."""

SECURE_LISTENERS = ("callers", "operators", "peers")
"""The sections with TLS files."""


def find_start_misfits(settings: Settings) -> Iterator[Misfit]:
    """Yield what `find_misfits` finds, and what would fail at the start.

    Each address is bound for a moment and TLS files are loaded, so that all
    that is wrong is told at once and with its place in the file.
    """
    yield from find_misfits(settings)
    for section in LISTENERS:
        keys = (section, "listen")
        yield from _try_address(keys, value_at(settings, keys))
    for section in SECURE_LISTENERS:
        keys = (section, "tls")
        files = value_at(settings, keys)
        if files is not None:
            yield from _try_files(keys, files)


def _try_address(keys: KeyPath, endpoint: Endpoint) -> Iterator[Misfit]:
    family = socket.AF_INET6 if endpoint.ip.version == 6 else socket.AF_INET
    try:
        with socket.socket(family, socket.SOCK_STREAM) as listener:
            # As trio does it, so that a port left a moment ago can be taken.
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((endpoint.host, endpoint.port))
    except OSError as error:
        address = f"{endpoint.host} port {endpoint.port}"
        yield Misfit((keys,), f"cannot listen on {address}: {error.strerror}")


def _try_files(keys: KeyPath, files: TlsFiles) -> Iterator[Misfit]:
    # Only a host needs these; commands that check files start without.
    from agatetack.metrics import Metrics
    from agatetack.tls import ServerTls, TlsFilesError

    name = str(keys[0])
    try:
        ServerTls(files, name, Metrics())
    except TlsFilesError as error:
        yield Misfit((keys,), str(error).removeprefix(f"{name}: "))
