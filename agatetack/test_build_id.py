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

PAGE = PACKAGE.parent / "docs/OPERATIONS.md"

needs_git = pytest.mark.skipif(shutil.which("git") is None, reason="needs git")


def make_tree(folder):
    """Make files whose order differs between names and git's entries."""
    for name, text in (
        ("a/part.py", "x = 1\n"),
        ("a-b.py", ""),
        ("a.py", "y = 2\n"),
        ("__pycache__/a.pyc", "compiled"),
        ("compiled/__pycache__/a.pyc", "compiled"),
    ):
        path = folder / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
    (folder / "a.py").chmod(0o755)


def add_tests(folder):
    for name in ("test_a.py", "a/test_part.py", "tests/test_all.py"):
        path = folder / name
        path.parent.mkdir(exist_ok=True)
        path.write_text("def test(): pass\n")


def git(folder, *arguments):
    command = ["git", "-c", "user.name=a", "-c", "user.email=a@a.example"]
    done = subprocess.run(
        [*command, *arguments], cwd=folder, check=True, capture_output=True
    )
    return done.stdout.decode().strip()


def lookup_commands():
    """Return the commands of the page that find the commits for an id."""
    section = PAGE.read_text().split("## Which code wrote a line", 1)[1]
    return section.split("```", 2)[1]


# Guards against a build id that no commit can be found by.
@needs_git
def test_the_id_of_a_tree_is_that_of_git(tmp_path):
    make_tree(tmp_path)
    git(tmp_path, "init", "-q")
    git(tmp_path, "add", "--force", "a", "a-b.py", "a.py")
    expected = git(tmp_path, "write-tree")
    shutil.rmtree(tmp_path / ".git")
    assert tree_id(tmp_path) == expected


# Guards against a copy packed without tests whose id names no commit.
def test_tests_do_not_change_the_id(tmp_path):
    make_tree(tmp_path)
    without = tree_id(tmp_path)
    add_tests(tmp_path)
    assert tree_id(tmp_path) == without
    (tmp_path / "a/testing.py").touch()
    assert tree_id(tmp_path) != without


# Guards against a page whose commands don't find the commits for an id.
@needs_git
@pytest.mark.parametrize("packed_without_tests", [False, True])
def test_the_commands_of_the_page_find_the_commits(
    tmp_path, packed_without_tests
):
    package = tmp_path / "agatetack"
    git(tmp_path, "init", "-q")
    (tmp_path / ".gitignore").write_text("__pycache__/\n")
    ids = []
    for number in range(3):
        make_tree(package)
        add_tests(package)
        (package / "a.py").write_text(f"y = {number}\n")
        git(tmp_path, "add", ".")
        git(tmp_path, "commit", "-q", "-m", f"Commit {number}.")
        if packed_without_tests:
            for path in package.rglob("test_*.py"):
                path.unlink()
        ids.append(tree_id(package))
    for number, build in enumerate(ids):
        done = subprocess.run(
            ["sh", "-c", lookup_commands().replace("BUILD", build[:12])],
            cwd=tmp_path,
            check=True,
            capture_output=True,
        )
        (line,) = done.stdout.decode().splitlines()
        assert line.endswith(f"Commit {number}.")


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
