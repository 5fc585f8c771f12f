"""Try, before a host starts, what only this host can tell of its settings."""

from collections.abc import Iterator

from agatetack.listeners import hold_address
from agatetack.settings.cross_checks import find_misfits, listen_addresses
from agatetack.settings.findings import KeyPath
from agatetack.settings.misfit import Misfit, value_at
from agatetack.settings.model import Endpoint, Settings, TlsFiles

SECURE_LISTENERS = ("callers", "operators", "peers")
"""The sections with TLS files."""


def find_start_misfits(settings: Settings) -> Iterator[Misfit]:
    """Yield what `find_misfits` finds, and what would fail at the start.

    Each address is bound, to be listened on later, and TLS files are loaded, so
    that all that is wrong is told at once and with its place in the file.
    """
    yield from find_misfits(settings)
    for keys, endpoint in listen_addresses(settings):
        yield from _hold_address(keys, endpoint)
    for section in SECURE_LISTENERS:
        keys = (section, "tls")
        files = value_at(settings, keys)
        if files is not None:
            yield from _try_files(keys, files)


def _hold_address(keys: KeyPath, endpoint: Endpoint) -> Iterator[Misfit]:
    try:
        hold_address(endpoint.host, endpoint.port)
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
