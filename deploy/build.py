"""Install the run-time dependencies under `target/`, if they changed."""

import compileall
import contextlib
import fcntl
import importlib.util
import os
import pathlib
import re
import subprocess
import sys
import sysconfig
import tomllib
from collections.abc import Iterator

ROOT = pathlib.Path(__file__).parents[1]
TARGET = ROOT / "target" / "deps"
STAMP = ROOT / "target" / "installed.txt"
LOCK = ROOT / "target" / "build.lock"

DAEMON_LEVEL = 2
"""Optimization level of the daemon, `python3 -OO`: its modules are compiled
without docstrings and asserts, which saves 2 MB of each host."""

UNUSED_LIBRARY = re.compile(
    r"/(test|tests|idlelib|lib2to3|tkinter|turtledemo|ensurepip|site-packages"
    r"|dist-packages)/"
)
"""Parts of the standard library that no daemon loads."""


def wanted() -> list[str]:
    """Return what `pyproject.toml` requires at run time."""
    text = (ROOT / "pyproject.toml").read_text()
    return tomllib.loads(text)["project"]["dependencies"]


def main() -> None:
    """Install what is wanted, unless it is there already."""
    requirements = wanted()
    stamp = "\n".join([sys.version, *requirements])
    # Sources that are not compiled cost each start half a second more.
    compileall.compile_dir(
        ROOT / "agatetack", quiet=1, optimize=[0, DAEMON_LEVEL]
    )
    with _lock():
        if not _is_installed(stamp):
            # An installation that is broken off leaves no stamp.
            STAMP.unlink(missing_ok=True)
            _install(requirements)
            STAMP.write_text(stamp)
        _compile_libraries()
    _compile_defaults()
    _write_build_id()


@contextlib.contextmanager
def _lock() -> Iterator[None]:
    """Let one build install at a time."""
    LOCK.parent.mkdir(exist_ok=True)
    with LOCK.open("w") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


def _is_installed(stamp: str) -> bool:
    """Return whether the dependencies that `stamp` names are there."""
    if not TARGET.is_dir() or not STAMP.exists():
        return False
    return STAMP.read_text() == stamp


def _install(requirements: list[str]) -> None:
    command = [sys.executable, "-m", "pip", "install", "--quiet"]
    command += ["--disable-pip-version-check", "--upgrade"]
    command += ["--target", str(TARGET), *requirements]
    subprocess.run(command, check=True)


def _compile_libraries() -> None:
    """Compile the dependencies and the standard library for the daemon.

    Files that are compiled already are left as they are. Some of the
    dependencies' files are templates, or for other versions of Python.
    """
    compileall.compile_dir(TARGET, quiet=2, optimize=DAEMON_LEVEL)
    library = sysconfig.get_path("stdlib")
    compileall.compile_dir(
        library,
        maxlevels=2,
        quiet=2,
        rx=UNUSED_LIBRARY,
        optimize=DAEMON_LEVEL,
    )
    compiled = importlib.util.cache_from_source(
        re.__file__, optimization=DAEMON_LEVEL
    )
    if not os.path.exists(compiled):
        print(
            f"build: {library} can't be compiled for `python3 -OO` by this"
            " user; each start has to compile what it loads of it",
            file=sys.stderr,
        )


def _compile_defaults() -> None:
    """Spare each start the reading of the default settings' YAML."""
    _run_python(
        "from agatetack.settings.defaults import compile_defaults as c; c()"
    )


def _write_build_id() -> None:
    """Name the sources, so that log lines show what code wrote them."""
    _run_python("from agatetack.build_id import write_build as w; w()")


def _run_python(code: str) -> None:
    """Run code that may import the package and its dependencies."""
    paths = os.pathsep.join([str(ROOT), str(TARGET)])
    environment = {**os.environ, "PYTHONPATH": paths}
    command = [sys.executable, "-c", code]
    subprocess.run(command, check=True, env=environment)


if __name__ == "__main__":
    main()
