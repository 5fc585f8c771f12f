"""Limit the modules that a host on a store loads before it serves requests.

When power returns to hundreds of hosts at once, on machines of half a core,
loading modules takes most of the time in which no requests are served. These
tests count modules instead of measuring that time, because the counts are the
same on all machines.
"""

import json
import os
import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parents[1]

LOADED = (
    "import json, sys; import agatetack.start, agatetack.store_daemon;"
    "print(json.dumps(sorted(sys.modules)))"
)

MAX_MODULES = 620
"""Most modules that a start may load, including Python's own."""

MAX_OWN_MODULES = 185
"""Most of this project's modules that a start may load."""


@pytest.fixture(scope="module")
def modules():
    """Return the names of the modules that a new process loads."""
    command = [sys.executable, "-c", LOADED]
    done = subprocess.run(command, check=True, capture_output=True)
    return json.loads(done.stdout)


def test_a_start_loads_no_more_modules_than_it_may(modules):
    own = [name for name in modules if name.split(".")[0] == "agatetack"]
    assert len(modules) <= MAX_MODULES
    assert len(own) <= MAX_OWN_MODULES


@pytest.mark.parametrize(
    "name",
    ["pydantic", "httpcore", "h11", "h2", "hypercorn", "defopt", "hypothesis"],
)
def test_a_start_leaves_out_what_it_does_not_need(modules, name):
    assert name not in modules


FAILING = """
import sys
from agatetack import start
from agatetack.errors import UserError
def fail(settings, path):
    raise {error}
start._run_daemon = fail
try:
    sys.exit(start.start_gateway(sys.argv[1]))
except UserError:
    sys.exit(1)
"""
REPORTING = """
import os, sys
if {close}:
    os.close(2)
from agatetack import __main__, start
start.start_gateway = lambda: print("started")
sys.argv[1:] = ["gateway"]
__main__.main()
"""
FREE = (
    "callers:\n  listen: {port: 0}\noperators:\n  listen: {port: 0}\n"
    "peers:\n  listen: {port: 0}\n"
)


# Guards against daemons that end without a line that says why.
@pytest.mark.parametrize(
    ("error", "status", "text"),
    [
        ("KeyError('x')", 70, "unexpected error: KeyError: 'x' ("),
        (
            "ExceptionGroup('', [ExceptionGroup('', [OSError('a\\nb')])])",
            70,
            "unexpected error: OSError: a b.",
        ),
        ("UserError('known')", 1, ""),
    ],
)
def test_an_unexpected_error_is_named_in_one_line(
    error, status, text, tmp_path
):
    path = tmp_path / "settings.yaml"
    path.write_text(FREE)
    code = FAILING.format(error=error)
    command = [sys.executable, "-c", code, str(path)]
    done = subprocess.run(command, capture_output=True, text=True)
    assert done.returncode == status
    found = [line for line in done.stderr.splitlines() if "Ended by" in line]
    assert [text in line for line in found] == [True] * bool(text)


# Guards against daemons that end with a traceback where the build is missing or
# was made with another Python.
def test_a_start_without_dependencies_says_so_in_one_line():
    command = [sys.executable, "-S", "-m", "agatetack", "gateway"]
    environment = {k: v for k, v in os.environ.items() if k != "PYTHONPATH"}
    done = subprocess.run(
        command, cwd=ROOT, env=environment, capture_output=True, text=True
    )
    assert done.returncode == 1
    (line,) = done.stderr.splitlines()
    assert "No module named 'trio'" in line
    assert "python3 deploy/build.py" in line


# Guards against a daemon that ends because nobody takes what it reports.
@pytest.mark.parametrize("output", ["full", "reader-gone", "closed"])
def test_a_report_that_cannot_be_written_does_not_end_a_start(output):
    read_end, gone = os.pipe()
    os.close(read_end)
    with open("/dev/full", "wb") as full, os.fdopen(gone, "wb") as pipe:
        code = REPORTING.format(close=output == "closed")
        done = subprocess.run(
            [sys.executable, "-c", code],
            stdout=subprocess.PIPE,
            stderr=pipe if output == "reader-gone" else full,
            text=True,
            env={**os.environ, "AGATETACK_LISTEN": "nonsense"},
        )
    assert done.stdout == "started\n"
    assert done.returncode == 0
