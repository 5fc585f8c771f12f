"""Try, before a host starts, what only this host can tell of its settings."""

import errno
import time
from collections.abc import Iterator, Sequence

from agatetack.listeners import (
    answer_pending,
    hold_address,
    release_address,
)
from agatetack.process import is_stop_pending, report_early
from agatetack.settings.cross_checks import find_misfits, listen_addresses
from agatetack.settings.findings import KeyPath, Severity
from agatetack.settings.misfit import Misfit, value_at
from agatetack.settings.model import (
    CallersSettings,
    Endpoint,
    Settings,
    TlsFiles,
)

SECURE_LISTENERS = ("callers", "operators", "peers")
"""The sections with TLS files."""

ADDRESS_POLL_SECONDS = 0.05
"""Interval at which an address in use is tried again."""


class StopRequested(Exception):
    """A signal stops the process before it has its addresses."""


def wait_for_addresses(settings: Settings) -> None:
    """Hold the addresses of the host, and wait for those that are in use.

    The wait ends after `lifecycle.address_wait_seconds`, whatever is held by
    then. Nothing is waited for if the settings do not fit together. Signals
    have to be held by the process.

    Raises:
        StopRequested: A stop signal came meanwhile.
    """
    if any(each.severity is Severity.ERROR for each in find_misfits(settings)):
        return
    wait_seconds = settings.lifecycle.address_wait_seconds
    deadline = time.monotonic() + wait_seconds
    told: set[Endpoint] = set()
    while in_use := _hold_addresses(settings):
        if is_stop_pending():
            raise StopRequested
        if time.monotonic() >= deadline:
            return
        for endpoint in set(in_use) - told:
            told.add(endpoint)
            report_early(
                f"{endpoint.host} port {endpoint.port} is in use;"
                f" waiting for it, up to {wait_seconds:g} s"
            )
        time.sleep(ADDRESS_POLL_SECONDS)


def _hold_addresses(settings: Settings) -> Sequence[Endpoint]:
    """Hold the addresses of the host, and return those that are in use.

    All are held or none: callers go to another host instead of waiting for
    this one, and another process may still listen on what is only bound here.
    """
    endpoints = [endpoint for _, endpoint in listen_addresses(settings)]
    in_use = [each for each in endpoints if _is_in_use(each)]
    if in_use:
        _refuse_pending(settings.callers)
        for each in endpoints:
            release_address(each.host, each.port)
    return in_use


def _refuse_pending(callers: CallersSettings) -> None:
    """Refuse callers that wait at the early listener, if it is held."""
    if callers.tls is not None:
        # A plain answer means nothing to a caller that speaks TLS.
        return
    answer = (
        "HTTP/1.1 503 Service Unavailable\r\n"
        f"{callers.headers.outcome}: not-run\r\n"
        "connection: close\r\ncontent-length: 0\r\n\r\n"
    )
    listen = callers.listen
    answer_pending(listen.host, listen.port, answer.encode())


def _is_in_use(endpoint: Endpoint) -> bool:
    """Hold an address; return whether another process has it."""
    try:
        hold_address(endpoint.host, endpoint.port)
    except OSError as error:
        # Any other error is a finding of the check that follows.
        return error.errno == errno.EADDRINUSE
    return False


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
