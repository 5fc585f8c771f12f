"""Start a daemon from its settings file."""

import os

import trio

from agatetack.decisions import set_up_decisions
from agatetack.errors import SettingsError, UserError
from agatetack.logs import PartLog, set_up_logs
from agatetack.settings.findings import render_findings
from agatetack.settings.loader import check_settings
from agatetack.settings.model import Settings
from agatetack.settings.start_checks import find_start_misfits

CONFIG_VARIABLE = "AGATETACK_CONFIG"
"""Names the settings file where the command line does not."""


def start_gateway(config: str = "") -> int:
    """Serve callers until SIGTERM or SIGINT; return the exit status.

    Args:
        config: The settings file; else the one that AGATETACK_CONFIG names.

    Raises:
        UserError: There is no such file, or its settings can't be used.
    """
    config = config or os.environ.get(CONFIG_VARIABLE, "")
    if not config:
        raise UserError(f"give -c FILE, or set {CONFIG_VARIABLE}")
    checked = check_settings(config, find_start_misfits)
    if checked.settings is None:
        raise SettingsError(render_findings(checked.findings))
    set_up_logs(checked.settings.logs)
    set_up_decisions(checked.settings.logs.decisions)
    for finding in checked.findings:
        PartLog("settings").warning("%s", render_findings([finding]))
    return _run_daemon(checked.settings, config)


def _run_daemon(settings: Settings, path: str) -> int:
    # Each kind of daemon imports slices that the other never needs.
    if settings.platform.store.endpoint is None:
        from agatetack.daemon import run_gateway

        return trio.run(run_gateway, settings)
    from agatetack.store_daemon import run_store_gateway

    return trio.run(run_store_gateway, settings, path)
