"""Test the build of the deploy file, with a stand-in of pip."""

import os
import pathlib
import shutil
import subprocess
import sys
import time
import tomllib
from importlib.util import cache_from_source

import pytest

BUILD = pathlib.Path(__file__).parents[2] / "deploy/build.py"
PATIENCE_SECONDS = 20

PIP = """
import os, pathlib, sys, time
target = pathlib.Path(sys.argv[sys.argv.index("--target") + 1])
with open("installs.txt", "a") as file:
    file.write(sys.argv[-1] + "\\n")
target.mkdir(parents=True, exist_ok=True)
(target / "installed").write_text(sys.argv[-1])
while os.path.exists("hold"):
    time.sleep(0.01)
sys.exit(os.path.exists("fail"))
"""
"""Installs one file, and notes what it was asked for."""


class Checkout:
    """A checkout with one dependency."""

    def __init__(self, root):
        self.root = root
        for name, text in {
            "pip/__init__.py": "",
            "pip/__main__.py": PIP,
            "agatetack/__init__.py": "",
            "agatetack/settings/__init__.py": "",
            "agatetack/settings/defaults.py": "def compile_defaults(): pass\n",
            "agatetack/build_id.py": "def write_build(): pass\n",
            "deploy/build.py": BUILD.read_text(),
        }.items():
            path = root / name
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(text)
        self.require("thing>=1")

    def require(self, requirement):
        text = f'[project]\ndependencies = ["{requirement}"]\n'
        (self.root / "pyproject.toml").write_text(text)

    def start(self):
        """Start a build in a process."""
        environment = {**os.environ, "PYTHONPATH": str(self.root)}
        command = [sys.executable, "deploy/build.py"]
        return subprocess.Popen(command, cwd=self.root, env=environment)

    def build(self):
        """Build, and return the exit status."""
        return self.start().wait(PATIENCE_SECONDS)

    @property
    def daemon_levels(self):
        """Return the optimization levels by which the deploy file runs."""
        text = (BUILD.parent / "system.toml").read_text()
        run = tomllib.loads(text)["roles"]["gateway"]["run"]
        return [flag.count("O") for flag in run.split() if flag[:2] == "-O"]

    @property
    def installs(self):
        path = self.root / "installs.txt"
        return path.read_text().splitlines() if path.exists() else []


@pytest.fixture
def checkout(tmp_path):
    return Checkout(tmp_path)


# Guards against starts of the daemon that compile every module again.
def test_a_build_compiles_for_the_daemon(checkout):
    source = checkout.root / "target/deps/thing.py"
    source.parent.mkdir(parents=True)
    source.write_text("1")
    assert checkout.build() == 0
    for path in (source, checkout.root / "agatetack/settings/defaults.py"):
        for level in checkout.daemon_levels:
            assert os.path.exists(cache_from_source(path, optimization=level))


def until(holds):
    deadline = time.monotonic() + PATIENCE_SECONDS
    while not holds():
        assert time.monotonic() < deadline
        time.sleep(0.01)


def waits_for_a_lock(process):
    lines = pathlib.Path("/proc/locks").read_text().splitlines()
    return any("->" in line and str(process.pid) in line for line in lines)


def test_a_second_build_installs_only_what_changed(checkout):
    assert checkout.build() == 0
    assert checkout.build() == 0
    checkout.require("thing>=2")
    assert checkout.build() == 0
    assert checkout.installs == ["thing>=1", "thing>=2"]


# Guards against a build that takes deleted dependencies for installed ones.
def test_a_build_installs_dependencies_that_were_deleted(checkout):
    assert checkout.build() == 0
    shutil.rmtree(checkout.root / "target/deps")
    assert checkout.build() == 0
    assert checkout.installs == ["thing>=1", "thing>=1"]


# Guards against a build that takes a half upgraded folder for the one before.
def test_a_build_after_one_that_was_broken_off_installs_again(checkout):
    assert checkout.build() == 0
    checkout.require("thing>=2")
    (checkout.root / "fail").touch()
    assert checkout.build() != 0
    (checkout.root / "fail").unlink()
    checkout.require("thing>=1")
    assert checkout.build() == 0
    assert checkout.installs == ["thing>=1", "thing>=2", "thing>=1"]


# Guards against two builds that install into one folder at the same time.
def test_builds_at_the_same_time_install_once(checkout):
    (checkout.root / "hold").touch()
    first = checkout.start()
    until(lambda: checkout.installs)
    second = checkout.start()
    until(lambda: len(checkout.installs) > 1 or waits_for_a_lock(second))
    (checkout.root / "hold").unlink()
    assert first.wait(PATIENCE_SECONDS) == 0
    assert second.wait(PATIENCE_SECONDS) == 0
    assert checkout.installs == ["thing>=1"]
