"""Name the code that runs, as it was built.

The id is git's own of the folder `agatetack`: `git rev-parse COMMIT:agatetack`
prints the same one for each commit with these sources.
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
    """Return git's id of a folder; what Python has compiled is left out."""
    return _hash_tree(folder).hex()


def _hash_tree(folder: pathlib.Path) -> bytes:
    entries = b"".join(
        b"%b %b\0%b" % (mode, name, digest)
        for name, mode, digest in sorted(_entries(folder), key=_order)
    )
    return _hash_object(b"tree", entries)


def _entries(folder: pathlib.Path) -> Iterator[tuple[bytes, bytes, bytes]]:
    """Yield name, mode and hash of what git would store of a folder."""
    for path in folder.iterdir():
        name = path.name.encode()
        if path.is_dir():
            if path.name != "__pycache__" and any(path.iterdir()):
                yield name, b"40000", _hash_tree(path)
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
