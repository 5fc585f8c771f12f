"""Test that the docs name only things that exist, and all they should."""

import dataclasses
import importlib.util
import itertools
import pathlib
import re
from collections.abc import Iterator, Mapping

import pytest

from agatetack.commands import COMMANDS, command_name
from agatetack.config.counters import Problem
from agatetack.config.route import Route
from agatetack.download.resume import CutReason
from agatetack.measure.probe import ProbeFailure
from agatetack.outcomes import REASON_RULES, RefusalReason, RetryReason
from agatetack.peers.frames import CloseReason
from agatetack.settings.defaults import default_layer

ROOT = pathlib.Path(__file__).parents[1]
OPERATORS = ROOT / "docs/operators"
PAGES = [
    ROOT / "README.md",
    ROOT / "traces/README.md",
    *sorted((ROOT / "docs").rglob("*.md")),
]
OPERATORS_PAGES = sorted(OPERATORS.glob("*.md"))

LINK = re.compile(r"\]\(([^)#]+)[^)]*\)")
PATH = re.compile(
    r"(?<![\w./])(?:agatetack|bench|docs|examples|thrift|traces)/[\w./-]*\w"
)
MODULE = re.compile(r"python -m ([a-z_.]*[a-z_])")
COMMAND = re.compile(
    r"(?:^    |`|bin/)agatetack ([a-z][a-z-]*)|^agatetack ([a-z][a-z-]*) .*  #",
    re.M,
)
COUNTER = re.compile(r"\bagatetack_[a-z_]+")
CODE = re.compile(r"`([^`]+)`")
SETTING = re.compile(r"[a-z_]+(?:\.[a-z_]+)*")
DEFAULT_TITLE = "Default"


def read_sources() -> Iterator[str]:
    """Yield the source of each module, without tests and generated code."""
    for path in (ROOT / "agatetack").rglob("*.py"):
        if not path.name.startswith("test_") and "generated" not in path.parts:
            yield path.read_text()


def find_counters() -> set[str]:
    """Return the names of all metrics in the code."""
    named = re.compile(r'"(agatetack_[a-z_]+)"')
    found = {name for text in read_sources() for name in named.findall(text)}
    for name in ("callers", "operators"):
        found.add(f"agatetack_{name}_tls_loads_total")
    return found


def find_default(path: str):
    """Return the default of a setting; KeyError if there is no such key."""
    value = default_layer()
    for key in path.split("."):
        if not isinstance(value, Mapping):
            # The key is inside a null or a list, so it has no default.
            return None
        value = value[key]
    return value


def table_rows(page: pathlib.Path) -> Iterator[tuple[str, list[str]]]:
    """Yield each row of a page's tables with the title row of its table."""
    lines = page.read_text().splitlines()
    for is_table, group in itertools.groupby(lines, lambda t: t[:1] == "|"):
        if is_table:
            title, _, *rows = group
            for row in rows:
                yield (
                    title,
                    [cell.strip() for cell in row.strip("|").split("|")],
                )


def named_settings() -> Iterator[tuple[str, str, str | None]]:
    """Yield each setting that an operators' page names, with its default.

    A page names the section in a title, as in "Settings (`claims`)". A cell
    with a full name also sets the section of the names after it.
    """
    for page in OPERATORS_PAGES:
        found = re.search(r"Settings? \(`([a-z_]+)[.:]*`\)", page.read_text())
        for title, cells in table_rows(page):
            if not title.lower().startswith("| setting"):
                continue
            section = found and found[1]
            default = cells[-1] if DEFAULT_TITLE in title else None
            for name in CODE.findall(cells[0]):
                if "." in name:
                    section = name.rpartition(".")[0]
                    yield page.name, name, default
                else:
                    yield page.name, f"{section}.{name}", default
        for name in CODE.findall(page.read_text()):
            head, dot, _ = name.partition(".")
            if dot and head in default_layer() and SETTING.fullmatch(name):
                yield page.name, name, None


def label_values(pattern: str) -> set[str]:
    """Return the label values that the operators' pages name."""
    pages = "\n".join(page.read_text() for page in OPERATORS.glob(pattern))
    return set(re.findall(r'[`"]([a-z-]+)[`"]', pages))


def ids(page: pathlib.Path) -> str:
    return str(page.relative_to(ROOT))


@pytest.mark.parametrize("page", PAGES, ids=ids)
def test_links_paths_modules_and_commands_exist(page):
    text = page.read_text()
    lost = [
        link
        for link in LINK.findall(text)
        if "://" not in link and not (page.parent / link).exists()
    ]
    lost += [path for path in PATH.findall(text) if not (ROOT / path).exists()]
    lost += [
        module
        for module in MODULE.findall(text)
        if importlib.util.find_spec(module) is None
    ]
    known = {command_name(command) for command in COMMANDS}
    lost += {a or b for a, b in COMMAND.findall(text)} - known
    assert not lost


def test_settings_exist_with_the_default_given():
    wrong, seen = [], set()
    for page, name, default in named_settings():
        seen.add(name)
        try:
            actual = find_default(name)
        except KeyError:
            wrong.append(f"{page}: there is no {name}")
            continue
        shown = str(actual or "none") if actual != 0 else "0"
        if default not in (None, shown):
            wrong.append(f"{page}: {name} is {shown}, not {default}")
    assert not wrong
    # The number shows that the tables of all pages were read.
    assert len(seen) > 90


def test_pages_and_code_name_the_same_counters():
    named = set()
    for page in OPERATORS_PAGES:
        named |= set(COUNTER.findall(page.read_text()))
    assert named == find_counters()


def test_the_callers_page_has_each_reason_at_its_status():
    rows = [
        (int(status), reason)
        for title, (status, *cells) in table_rows(OPERATORS / "callers.md")
        if title.startswith("| status")
        for reason in CODE.findall(cells[0])
    ]
    wanted = {
        (rule.status, reason.value) for reason, rule in REASON_RULES.items()
    }
    assert set(rows) == wanted
    assert len(rows) == len(RefusalReason)


@pytest.mark.parametrize(
    ("page", "reasons"),
    [
        ("attempts.md", RetryReason),
        ("attempts.md", CutReason),
        ("config.md", Problem),
        ("measure.md", ProbeFailure),
        ("peers.md", CloseReason),
    ],
)
def test_a_page_names_each_reason_of_its_counter(page, reasons):
    assert {reason.value for reason in reasons} <= label_values(page)


def test_the_page_of_settings_has_the_keys_of_a_route():
    listed = {
        CODE.findall(cells[0])[0]: cells[1]
        for title, cells in table_rows(OPERATORS / "settings.md")
        if title.startswith("| Key | Default")
    }
    defaults = {
        field.name: shown_default(field.default)
        for field in dataclasses.fields(Route)
        if field.name != "version"
    }
    assert listed == defaults


def shown_default(value: object) -> str:
    """Return a route's default as the page writes it."""
    if value is dataclasses.MISSING:
        return ""
    if value == ():
        return "none"
    return f"{value:.12g}" if value != "" else "any"


def test_the_callers_page_has_the_names_of_headers():
    named = {
        CODE.findall(cells[0])[0]
        for title, cells in table_rows(OPERATORS / "callers.md")
        if title.startswith("| header")
    }
    text = (OPERATORS / "callers.md").read_text()
    headers = set(default_layer()["callers"]["headers"].values())
    assert named <= headers
    assert all(f"`{header}`" in text for header in headers)


def test_the_page_of_commands_lists_each():
    listed = [
        CODE.findall(cells[0])[0].split()[0]
        for title, cells in table_rows(OPERATORS / "commands.md")
        if title.startswith("| Command")
    ]
    assert sorted(listed) == sorted(
        command_name(command) for command in COMMANDS
    )


def test_the_pages_name_each_reason_that_the_code_spells_out():
    spelled = re.compile(
        r'(?:dropped\(|_drop\(|"(?:reason|result)": )"([a-z-]+)"'
    )
    used = {name for text in read_sources() for name in spelled.findall(text)}
    assert len(used) > 20
    assert used <= label_values("*.md")


def test_decisions_are_numbered_and_listed():
    folder = ROOT / "docs/decisions"
    notes = sorted(p.name for p in folder.glob("*.md") if p.name != "README.md")
    numbers = [re.fullmatch(r"(\d{3})-[a-z-]+\.md", note)[1] for note in notes]
    assert numbers == [f"{n:03}" for n in range(1, len(notes) + 1)]
    index = (folder / "README.md").read_text()
    assert LINK.findall(index) == notes
