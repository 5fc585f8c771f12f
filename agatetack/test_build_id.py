"""Name the code that wrote a log, so that a record shows which one it was."""

import shutil
import subprocess

import pytest

from agatetack.build_id import (
    NOT_BUILT,
    PACKAGE,
    read_build,
    tree_id,
    write_build,
)


def make_tree(folder):
    """Make files whose order differs between names and git's entries."""
    for name, text in (
        ("a/part.py", "x = 1\n"),
        ("a-b.py", ""),
        ("a.py", "y = 2\n"),
        ("__pycache__/a.pyc", "compiled"),
    ):
        path = folder / name
        path.parent.mkdir(exist_ok=True)
        path.write_text(text)
    (folder / "a.py").chmod(0o755)


# Guards against a build id that no commit can be found by.
@pytest.mark.skipif(shutil.which("git") is None, reason="needs git")
def test_the_id_of_a_tree_is_that_of_git(tmp_path):
    make_tree(tmp_path)
    for command in (
        ["git", "init", "-q"],
        ["git", "add", "--force", "a", "a-b.py", "a.py"],
    ):
        subprocess.run(command, cwd=tmp_path, check=True)
    done = subprocess.run(
        ["git", "write-tree"], cwd=tmp_path, check=True, capture_output=True
    )
    shutil.rmtree(tmp_path / ".git")
    assert tree_id(tmp_path) == done.stdout.decode().strip()


def test_a_build_names_the_sources_of_the_package(tmp_path):
    path = tmp_path / "build.json"
    write_build(path)
    assert read_build(path).tree == tree_id(PACKAGE)


@pytest.mark.parametrize("text", [None, "", "{}", "[]", "spoiled"])
def test_code_that_was_not_built_runs_as_well(tmp_path, text):
    path = tmp_path / "build.json"
    if text is not None:
        path.write_text(text)
    assert read_build(path).tree == NOT_BUILT
