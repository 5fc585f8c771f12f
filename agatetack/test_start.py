"""Limit the modules that a host on a store loads before it serves requests.

When power returns to hundreds of hosts at once, on machines of half a core,
loading modules takes most of the time in which no requests are served. These
tests count modules instead of measuring that time, because the counts are the
same on all machines.
"""

import ast
import json
import os
import pathlib
import socket
import subprocess
import sys

import pytest

from agatetack import listeners, start
from agatetack.errors import SettingsError

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
    [
        "pydantic",
        "httpcore",
        "h11",
        "h2",
        "hypercorn",
        "defopt",
        "hypothesis",
        "statistics",
        # Parts that are loaded for some configurations or failures only.
        "agatetack.identity",
        "agatetack.quotas",
        "agatetack.claims",
        "agatetack.download",
        "agatetack.forwarding.forwarder",
        "agatetack.forwarding.receiver",
        "agatetack.generated.forwarding",
        "agatetack.generated.quarantine",
        "agatetack.tls",
    ],
)
def test_a_start_leaves_out_what_it_does_not_need(modules, name):
    assert name not in modules


# Guards against code that fails or is skipped in the daemon, which runs by
# `python3 -OO`: it has no docstrings, and no assert is checked.
def test_nothing_depends_on_docstrings_or_asserts():
    found = []
    for path in (ROOT / "agatetack").rglob("*.py"):
        parts = path.relative_to(ROOT / "agatetack").parts
        if "testing" in parts or path.name.startswith(("test_", "conftest")):
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            name = getattr(node, "attr", getattr(node, "id", ""))
            if isinstance(node, ast.Assert) or name in ("__doc__", "getdoc"):
                found.append(f"{path}:{node.lineno}")
    assert not found


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
start.start_gateway = lambda: print("started") or 0
sys.argv[1:] = ["gateway"]
__main__.main()
"""
ENDING = """
import sys
from agatetack import __main__, start
class Freed:
    def __del__(self):
        print("freed")
def serve(settings, path):
    start.log.info("Stopped.")
    print("served")
    {end}
start._run_daemon = serve
start.kept = Freed()
sys.argv[1:] = ["gateway"]
__main__.main()
"""
OPENING = """
import os, socket, sys
from agatetack import __main__, start
os.close({descriptor})
start.start_gateway = lambda: int(socket.socket().fileno() <= 2)
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


# Guards against a host that is killed as it frees its memory object by object
# when its drain has taken the whole time, and against log lines lost by an end
# that leaves this out.
@pytest.mark.parametrize(
    ("end", "status"),
    [
        ("return 0", 0),
        ("return 1", 1),
        ("raise start.UserError('known')", 1),
        ("raise KeyError('x')", 70),
    ],
)
def test_a_daemon_ends_without_freeing_its_objects(end, status, tmp_path):
    path = tmp_path / "settings.yaml"
    path.write_text(FREE)
    done = subprocess.run(
        [sys.executable, "-c", ENDING.format(end=end)],
        env={**os.environ, "AGATETACK_CONFIG": str(path)},
        capture_output=True,
        text=True,
    )
    assert done.returncode == status
    assert done.stdout == "served\n"
    assert "Stopped." in done.stderr
    assert ("agatetack: known" in done.stderr) == ("known" in end)
    assert ("KeyError: 'x'" in done.stderr) == ("KeyError" in end)


ELSEWHERE = """
import pathlib, sys
from agatetack import listeners, start
assert listeners.listen_early() is None
port = listeners.held["127.0.0.1", 0].getsockname()[1]
path = pathlib.Path(sys.argv[1])
path.write_text(path.read_text().replace("@", str(port)))
start._run_daemon = lambda settings, path: 0
sys.exit(start.start_gateway(str(path)))
"""
AT_THE_SAME_PORT = (
    "callers:\n  listen: {port: @}\noperators:\n  listen: {port: 0}\n"
    "peers:\n  listen: {port: 0}\nlifecycle: {address_wait_seconds: 0.1}\n"
)


# Guards against a host that ends because it has its address already, named in
# another form by the environment than by the settings.
def test_an_early_listener_does_not_take_the_address_of_the_settings(tmp_path):
    path = tmp_path / "settings.yaml"
    path.write_text(AT_THE_SAME_PORT)
    done = subprocess.run(
        [sys.executable, "-c", ELSEWHERE, str(path)],
        env={**os.environ, "AGATETACK_LISTEN": "127.0.0.1:0"},
        capture_output=True,
        text=True,
    )
    assert "AGATETACK_LISTEN names 127.0.0.1:0" in done.stderr
    assert done.returncode == 0


# Guards against hosts that wait for addresses though their settings are wrong.
@pytest.mark.parametrize(
    "wrong", ["drain_secnds: 9", "notice_seconds: 9, drain_seconds: 2"]
)
def test_a_host_whose_settings_are_wrong_waits_for_no_address(wrong, tmp_path):
    path = tmp_path / "settings.yaml"
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = str(taken.getsockname()[1])
        text = AT_THE_SAME_PORT.replace("@", port)
        path.write_text(text.replace("0.1}", f"0.1, {wrong}}}"))
        done = subprocess.run(
            [sys.executable, "-m", "agatetack", "gateway"],
            cwd=ROOT,
            env={**os.environ, "AGATETACK_CONFIG": str(path)},
            capture_output=True,
            text=True,
        )
    assert done.returncode == 1
    assert f"lifecycle.{wrong.partition(':')[0]}" in done.stderr
    assert "callers.listen: cannot listen" in done.stderr
    assert "waiting" not in done.stderr


# Guards against daemons that end with a traceback where the build is missing or
# was made with another Python.
def test_a_start_without_dependencies_says_so_in_one_line(tmp_path):
    # A checkout without a build.
    (tmp_path / "agatetack").symlink_to(ROOT / "agatetack")
    command = [sys.executable, "-S", "-m", "agatetack", "gateway"]
    environment = {k: v for k, v in os.environ.items() if k != "PYTHONPATH"}
    done = subprocess.run(
        command, cwd=tmp_path, env=environment, capture_output=True, text=True
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


# Guards against log lines in a socket that has the number of a closed standard
# file.
@pytest.mark.parametrize("descriptor", [0, 1, 2])
def test_no_socket_takes_the_place_of_a_standard_file(descriptor):
    code = OPENING.format(descriptor=descriptor)
    environment = {
        k: v for k, v in os.environ.items() if k != "AGATETACK_LISTEN"
    }
    done = subprocess.run([sys.executable, "-c", code], env=environment)
    assert done.returncode == 0


# Guards against a host that serves by the defaults as its settings file was
# read before it was written.
def test_a_start_refuses_an_empty_settings_file(tmp_path, monkeypatch):
    monkeypatch.setattr(start, "_run_daemon", lambda settings, path: 0)
    path = tmp_path / "settings.yaml"
    path.touch()
    with pytest.raises(SettingsError, match="settings.yaml: is empty"):
        start.start_gateway(str(path))


# Guards against addresses that stay taken after a start that is refused.
def test_a_refused_start_holds_no_address(tmp_path):
    path = tmp_path / "settings.yaml"
    with socket.create_server(("127.0.0.1", 0)) as probe:
        port = probe.getsockname()[1]
    path.write_text(FREE.replace("port: 0", f"port: {port}", 1) + "none: 1")
    with pytest.raises(SettingsError, match="none: is not a known key"):
        start.start_gateway(str(path))
    assert not listeners.held
