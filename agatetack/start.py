"""Start a daemon from its settings file."""

import os
import traceback

import trio

from agatetack import listeners
from agatetack.decisions import set_up_decisions
from agatetack.errors import SettingsError, UserError
from agatetack.logs import PartLog, set_up_logs
from agatetack.process import held_stop, kill_time, report_early
from agatetack.settings.findings import render_findings
from agatetack.settings.loader import CheckedSettings, check_settings
from agatetack.settings.model import Settings
from agatetack.settings.start_checks import (
    StopRequested,
    find_start_misfits,
    wait_for_addresses,
)
from agatetack.settings.yaml_file import is_empty_file

CONFIG_VARIABLE = "AGATETACK_CONFIG"
"""Environment variable with the path of the settings file; the command line
takes precedence."""

EXIT_FAILURE = 70
"""Exit status of a daemon that ends by an unexpected error."""

log = PartLog("daemon")


def start_gateway(config: str = "") -> int:
    """Serve callers until SIGTERM or SIGINT; return the exit status.

    Args:
        config: The settings file; if empty, AGATETACK_CONFIG names it.

    Raises:
        UserError: No file was given, or it can't be read or has errors.
    """
    held_stop.look()
    config = config or os.environ.get(CONFIG_VARIABLE, "")
    if not config:
        raise UserError(f"give -c FILE, or set {CONFIG_VARIABLE}")
    if is_empty_file(config):
        raise SettingsError(f"{config}: is empty")
    try:
        checked = check_settings(config, find_start_misfits, take_addresses)
    except StopRequested:
        return 0
    held_stop.look()
    if checked.settings is None:
        listeners.release_others([])
        raise SettingsError(render_findings(checked.findings))
    writer = set_up_logs(checked.settings.logs)
    set_up_decisions(checked.settings.logs.decisions)
    for finding in checked.findings:
        PartLog("settings").warning(
            "At the start: %s", render_findings([finding])
        )
    try:
        return _run_daemon(checked, config)
    except UserError:
        raise
    except Exception as error:
        report_failure(error)
        return EXIT_FAILURE
    finally:
        writer.stop(kill_time.at)


def take_addresses(settings: Settings) -> None:
    """Hold the addresses that the host listens on, as soon as they are free."""
    # First, as Linux may count such a listener as one on the same address.
    _close_unused_listeners(settings)
    wait_for_addresses(settings)


def report_failure(error: Exception) -> None:
    """Say in one line why the daemon ends, with the traceback in the next."""
    # Imported late, as a start loads no module that it may not need.
    from agatetack.failures import describe_failure

    log.error("Ended by an unexpected error: %s.", describe_failure(error))
    log.error("Traceback: %s", "".join(traceback.format_exception(error)))


def _close_unused_listeners(settings: Settings) -> None:
    """Close an early listener whose address is not that of the settings."""
    listen = settings.callers.listen
    for address in listeners.release_others([(listen.host, listen.port)]):
        report_early(
            f"{listeners.LISTEN_VARIABLE} names {address}, and"
            f" callers.listen is {listen.host}:{listen.port}"
        )


def _run_daemon(checked: CheckedSettings, path: str) -> int:
    settings = checked.settings
    # Imported late, as each daemon needs modules that the other doesn't.
    if settings.platform.store.endpoint is None:
        from agatetack.daemon import run_gateway

        return trio.run(run_gateway, checked)
    from agatetack.store_daemon import run_store_gateway

    return trio.run(run_store_gateway, checked, path)
