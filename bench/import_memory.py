"""Measure what the imports and the loading of settings cost in memory.

Run `python -m bench.import_memory`. Each row starts a fresh interpreter,
imports trio as the baseline and then takes its steps in turn. Printed is the
growth of a process's resident memory (VmRSS) and of the part that it shares
with no other process (RssAnon), from /proc/self/status, in kB, and the ratio
of the former to trio's own import in the same interpreter. Each row runs twice
and only the second run is printed, as the first one compiles modules that an
installed package holds compiled.

With arguments it takes these steps instead: names of modules, or `load` for
reading the default settings.
"""

import importlib
import os
import pathlib
import subprocess
import sys
import tempfile
from collections.abc import Callable
from typing import NamedTuple

BASELINE = "trio"
LOAD_STEP = "load"
CHILD_FLAG = "--child"
CACHE = pathlib.Path(tempfile.gettempdir()) / "agatetack-import-memory"
MODULE = "bench.import_memory"

ROWS = (
    ("ruamel.yaml",),
    ("pydantic", "agatetack.settings.model"),
    ("msgspec",),
    ("absl.logging", "orjson", "agatetack.logs"),
    ("agatetack.settings.loader", LOAD_STEP),
    ("agatetack.settings.loader", LOAD_STEP, "agatetack.gateway"),
)
"""Steps of each interpreter; msgspec is measured as pydantic's kin."""


class Memory(NamedTuple):
    """A process's memory, in kB."""

    resident: int
    private: int


def read_memory() -> Memory:
    """Return this process's memory."""
    fields = {}
    with open("/proc/self/status", encoding="ascii") as status:
        for line in status:
            name, _, value = line.partition(":")
            fields[name] = value
    return Memory(
        resident=int(fields["VmRSS"].split()[0]),
        private=int(fields["RssAnon"].split()[0]),
    )


def take_step(step: str) -> None:
    """Import a module, or load the default settings."""
    if step != LOAD_STEP:
        importlib.import_module(step)
        return
    from agatetack.settings.defaults import DEFAULT_FILE
    from agatetack.settings.loader import load_settings

    load_settings(DEFAULT_FILE).unwrap()


def grow(action: Callable[[], None]) -> Memory:
    """Return how much memory grows through `action`."""
    before = read_memory()
    action()
    after = read_memory()
    return Memory(
        after.resident - before.resident, after.private - before.private
    )


def measure(steps: list[str]) -> None:
    """Take the steps in this process and print what each cost."""
    baseline = grow(lambda: take_step(BASELINE))
    for step in steps:
        modules = len(sys.modules)
        try:
            cost = grow(lambda step=step: take_step(step))
        except ModuleNotFoundError:
            print(f"{step:28} not installed")
            continue
        print(
            f"{step:28} {cost.resident:7} {cost.private:8}"
            f" {cost.resident / baseline.resident:8.2f}"
            f" {len(sys.modules) - modules:8}"
        )
    total = read_memory()
    print(f"{'whole process':28} {total.resident:7} {total.private:8}")


def main() -> None:
    """Measure each row in an interpreter of its own."""
    arguments = sys.argv[1:]
    if arguments[:1] == [CHILD_FLAG]:
        measure(arguments[1:])
        return
    print(f"{'step':28} {'VmRSS':>7} {'RssAnon':>8} {'to trio':>8} modules")
    for steps in [arguments] if arguments else ROWS:
        # As a script it would have bench/ in its path, before the standard
        # library.
        command = [sys.executable, "-m", MODULE, CHILD_FLAG, *steps]
        _run(command)
        print(_run(command))


def _run(command: list[str]) -> str:
    """Return what `command` prints, with its compiled modules kept."""
    environment = dict(os.environ)
    environment.pop("PYTHONDONTWRITEBYTECODE", None)
    environment["PYTHONPYCACHEPREFIX"] = str(CACHE)
    done = subprocess.run(
        command, check=True, env=environment, stdout=subprocess.PIPE, text=True
    )
    return done.stdout


if __name__ == "__main__":
    main()
