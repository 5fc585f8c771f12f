"""Parse the command line, call the library and print."""

import sys
from collections.abc import Callable, Sequence

import defopt
import trio
from returns.pipeline import is_successful

from agatetack.errors import UserError
from agatetack.operators.host_commands import (
    claims,
    drain,
    explain,
    release,
    status,
)
from agatetack.operators.refusals import OperatorsError
from agatetack.operators.route_commands import apply, change, get
from agatetack.operators.terminal import (
    EXIT_OK,
    EXIT_REFUSED,
    EXIT_USAGE,
    UsageError,
    complain,
    print_json,
)


def gateway(*, config: str = "") -> int:
    """Serve callers until SIGTERM or SIGINT, then drain and stop.

    Example::

        agatetack gateway -c settings.yaml

    Args:
        config: The settings file; else the one that AGATETACK_CONFIG names.
    """
    from agatetack.start import start_gateway

    return start_gateway(config)


def demo() -> int:
    """Run two gateways with fake targets and print what became of requests.

    Example::

        agatetack demo
    """
    from agatetack.demo import run_demo

    return EXIT_OK if trio.run(run_demo) else EXIT_REFUSED


def check(file: str, *, json: bool = False) -> int:
    """Check a settings file or a file of routes; print all findings.

    A file that holds a list is taken for routes, any other for settings.

    Examples::

        agatetack check settings.yaml
        agatetack check routes.yaml

    Args:
        file: The file.
        json: Print JSON.
    """
    from agatetack.settings.findings import Severity, render_findings

    findings = _find_in_file(file)
    errors = [found for found in findings if found.severity is Severity.ERROR]
    if json:
        print_json(findings)
    elif findings:
        print(render_findings(findings))
    else:
        print(f"{file}: no findings")
    return EXIT_REFUSED if errors else EXIT_OK


def _find_in_file(file: str) -> Sequence:
    from agatetack.config.route_file import load_routes
    from agatetack.settings.loader import check_settings
    from agatetack.settings.yaml_file import read_yaml

    if isinstance(read_yaml(file).value, list):
        loaded = load_routes(file)
        return () if is_successful(loaded) else loaded.failure()
    return check_settings(file).findings


def explain_log(file: str, request: str) -> int:
    """Print what hosts' log lines say of one request, in order.

    Examples::

        agatetack explain-log fleet.log 0c2907e1
        cat host-*.log | agatetack explain-log - 0c2907e1

    Args:
        file: JSON lines of any number of hosts; - is standard input.
        request: The request's id.
    """
    from agatetack.explain_log import read_trace, render_trace

    trace = read_trace(file, request)
    if not trace.lines:
        complain(f"{file}: no line is of request {request}")
        return EXIT_REFUSED
    print(render_trace(trace))
    return EXIT_OK


COMMANDS = (
    gateway,
    check,
    apply,
    get,
    change,
    status,
    explain,
    explain_log,
    claims,
    drain,
    release,
    demo,
)


def command_name(command: Callable[..., int]) -> str:
    """Return a command's name on the command line."""
    return command.__name__.replace("_", "-")


def main(arguments: Sequence[str] | None = None) -> None:
    """Run one command and exit with its code.

    Args:
        arguments: The arguments after the program's name; `sys.argv[1:]` if
            None.
    """
    sys.exit(run(sys.argv[1:] if arguments is None else arguments))


def run(arguments: Sequence[str]) -> int:
    """Run one command and return its exit status.

    It is 0 for success, 1 for findings or a refusal, 2 for wrong usage.
    """
    try:
        return defopt.run(
            list(COMMANDS),
            argv=list(arguments),
            short={"config": "c"},
            show_defaults=False,
            no_negated_flags=False,
            argparse_kwargs={"prog": "agatetack"},
        )
    except UsageError as error:
        complain(str(error))
        return EXIT_USAGE
    except (UserError, OperatorsError) as error:
        complain(str(error))
        return EXIT_REFUSED
