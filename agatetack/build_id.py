"""Name the code that runs, as it was built.

The id is the one that git gives the folder `agatetack` without its tests, so
that a copy packed without them has the same. docs/OPERATIONS.md shows how to
find the commits for an id.
"""

import dataclasses
import hashlib
import json
import os
import pathlib
from collections.abc import Iterator

from agatetack import __version__

PACKAGE = pathlib.Path(__file__).parent

BUILD_FILE = PACKAGE / "__pycache__" / "build.json"
"""Where the build writes the id, as a start has no time to read all sources."""

NOT_BUILT = "not-built"
"""Stands for the id where no build has written one."""

SHORT_ID_DIGITS = 12
"""Digits of an id in log lines."""

EXECUTABLE = 0o100

NOT_COVERED = ("__pycache__", "test_*.py")
"""Names of files and folders that the id does not depend on: what Python has
compiled, and tests, which a packed copy may lack."""


@dataclasses.dataclass(frozen=True, slots=True)
class Build:
    """What is known of the code that runs.

    Attributes:
        version: The version of the package.
        tree: The id of its sources, in hexadecimal digits, or `NOT_BUILT`.
    """

    version: str
    tree: str

    @property
    def short_tree(self) -> str:
        """Return the first digits of the id."""
        return self.tree[:SHORT_ID_DIGITS]


def read_build(path: pathlib.Path = BUILD_FILE) -> Build:
    """Return what the build wrote; a missing or spoiled file names no id."""
    try:
        tree = json.loads(path.read_bytes())["tree"]
    except (OSError, ValueError, KeyError, TypeError):
        # A checkout that nobody built runs as well.
        tree = NOT_BUILT
    return Build(__version__, str(tree))


def write_build(path: pathlib.Path = BUILD_FILE) -> None:
    """Write the id of the sources for later starts."""
    path.parent.mkdir(exist_ok=True)
    partial = path.with_name(f"{path.name}.{os.getpid()}")
    partial.write_text(json.dumps({"tree": tree_id(PACKAGE)}))
    partial.rename(path)


def tree_id(folder: pathlib.Path) -> str:
    """Return git's id of a folder without what `NOT_COVERED` names."""
    return _hash_object(b"tree", _list_tree(folder)).hex()


def _list_tree(folder: pathlib.Path) -> bytes:
    """Return the content of git's tree object of a folder."""
    return b"".join(
        b"%b %b\0%b" % (mode, name, digest)
        for name, mode, digest in sorted(_entries(folder), key=_order)
    )


def _entries(folder: pathlib.Path) -> Iterator[tuple[bytes, bytes, bytes]]:
    """Yield name, mode and hash of what git would store of a folder."""
    for path in folder.iterdir():
        if any(path.match(pattern) for pattern in NOT_COVERED):
            continue
        name = path.name.encode()
        if path.is_dir():
            # Git stores no folder without files.
            if content := _list_tree(path):
                yield name, b"40000", _hash_object(b"tree", content)
            continue
        is_executable = path.stat().st_mode & EXECUTABLE
        mode = b"100755" if is_executable else b"100644"
        yield name, mode, _hash_object(b"blob", path.read_bytes())


def _order(entry: tuple[bytes, bytes, bytes]) -> bytes:
    """Return what git sorts entries by: folders as if they ended in `/`."""
    name, mode, _ = entry
    return name + b"/" if mode == b"40000" else name


def _hash_object(kind: bytes, content: bytes) -> bytes:
    header = b"%b %d\0" % (kind, len(content))
    return hashlib.sha1(header + content, usedforsecurity=False).digest()


running = read_build()
"""The code of this process."""
