"""Load a settings file over the defaults, with all findings at once."""

import copy
import dataclasses
import pathlib
import typing
from collections.abc import Callable, Iterable, Iterator

from returns.result import Failure, Result, Success

from agatetack.late import LateModule
from agatetack.settings.building import (
    BadValue,
    Builder,
    field_kinds,
    is_section,
)
from agatetack.settings.cross_checks import find_misfits
from agatetack.settings.defaults import default_layer, merge_layers
from agatetack.settings.findings import (
    Finding,
    KeyPath,
    Place,
    Severity,
    key_text,
)
from agatetack.settings.misfit import Misfit
from agatetack.settings.model import Section, Settings
from agatetack.settings.yaml_file import YamlFile, parse_yaml, read_yaml

hints = LateModule("agatetack.settings.hints")

FindMisfits = Callable[[Settings], Iterator[Misfit]]
"""Yields the settings that do not fit together."""

Prepare = Callable[[Settings], None]
"""Called before `FindMisfits`, with settings in which nothing is wrong yet."""


def prepare_nothing(settings: Settings) -> None:
    """Leave all as it is."""


@dataclasses.dataclass(frozen=True, slots=True)
class CheckedSettings:
    """What a settings file gave.

    Attributes:
        settings: The settings, or None if a finding is an error.
        findings: Errors and warnings, in the order of their places.
        digest: SHA-256 of the file in hexadecimal digits; empty if it could
            not be read.
    """

    settings: Settings | None
    findings: tuple[Finding, ...]
    digest: str = ""


def load_settings(
    path: str | pathlib.Path, find: FindMisfits = find_misfits
) -> Result[Settings, tuple[Finding, ...]]:
    """Return the settings that a file gives, or all its findings.

    Warnings alone are no failure; `check_settings` returns them too.

    Args:
        path: The file.
        find: Finds settings that do not fit together; a host that starts
            gives `start_checks.find_start_misfits`.
    """
    checked = check_settings(path, find)
    if checked.settings is None:
        return Failure(checked.findings)
    return Success(checked.settings)


def check_settings(
    path: str | pathlib.Path,
    find: FindMisfits = find_misfits,
    prepare: Prepare = prepare_nothing,
) -> CheckedSettings:
    """Return the settings that a file gives and all its findings."""
    return _check_file(read_yaml(path), find, prepare)


def check_settings_text(
    text: str, name: str, find: FindMisfits = find_misfits
) -> CheckedSettings:
    """Return the settings that `text` gives, with `name` as its file."""
    return _check_file(parse_yaml(text, name), find)


def _check_file(
    file: YamlFile, find: FindMisfits, prepare: Prepare = prepare_nothing
) -> CheckedSettings:
    over = file.value
    if over is None:
        over = {}
    if not isinstance(over, dict):
        file.add((), file.place(()), "must be a map of sections")
        over = {}
    layer = merge_layers(default_layer(), over)
    settings, broken = _validate(layer, file)
    if settings is None:
        settings = _settings_without(layer, broken)
    if settings is not None:
        if not _has_errors(file):
            prepare(settings)
        _add_misfits(find(settings), broken, file)
    findings = tuple(
        sorted(file.findings, key=lambda found: (found.line, found.column))
    )
    if _has_errors(file):
        settings = None
    return CheckedSettings(settings, findings, file.digest)


def _has_errors(file: YamlFile) -> bool:
    return any(found.severity is Severity.ERROR for found in file.findings)


def _validate(
    layer: dict, file: YamlFile
) -> tuple[Settings | None, set[KeyPath]]:
    """Return the settings, or None and the paths that are at fault."""
    builder = Builder()
    settings = builder.build(Settings, layer)
    for bad in builder.bad:
        if not _is_unread(bad.path, file):
            _add_error(bad, file)
    return settings, {bad.path for bad in builder.bad}


def _add_error(bad: BadValue, file: YamlFile) -> None:
    keys = bad.path
    if bad.unknown:
        siblings = _known_keys(keys[:-1])
        hint = hints.near_key(keys, siblings, default_layer())
        file.add(keys, file.key_place(keys), bad.message, hint)
        return
    name = str(keys[-1]) if keys else ""
    hint = hints.plain_number(name, bad.value)
    file.add(keys, file.place(keys), bad.message, hint)


def _is_unread(keys: KeyPath, file: YamlFile) -> bool:
    return any(keys[:depth] in file.unread for depth in range(len(keys) + 1))


def _known_keys(keys: KeyPath) -> tuple[str, ...]:
    """Return the keys that the model knows in the section at `keys`."""
    section = Settings
    for step in keys:
        if isinstance(step, int):
            continue
        section = _section_in(field_kinds(section)[step])
    return section.__struct_fields__


def _section_in(kind: object) -> type[Section]:
    """Return the section that a field's annotation speaks of."""
    if is_section(kind):
        return kind
    for part in typing.get_args(kind):
        if part not in (type(None), Ellipsis):
            return _section_in(part)
    raise TypeError(f"{kind} holds no section")


def _settings_without(
    layer: dict, broken: Iterable[KeyPath]
) -> Settings | None:
    """Return the settings with the defaults in place of what is at fault."""
    repaired = copy.deepcopy(layer)
    for keys in broken:
        _reset(repaired, default_layer(), keys)
    return Builder().build(Settings, repaired)


def _reset(layer: dict, default: dict, keys: KeyPath) -> None:
    """Set the value at `keys`, or the nearest above it, to its default."""
    step, *rest = keys
    if step not in default:
        layer.pop(step, None)
        return
    deeper = isinstance(layer[step], dict) and isinstance(default[step], dict)
    if rest and deeper:
        _reset(layer[step], default[step], tuple(rest))
        return
    layer[step] = default[step]


def _add_misfits(
    misfits: Iterable[Misfit], broken: set[KeyPath], file: YamlFile
) -> None:
    for misfit in misfits:
        # A default that stands in for a faulty value would mislead.
        if any(_overlaps(keys, broken) for keys in misfit.paths):
            continue
        given = [keys for keys in misfit.paths if file.has(keys)]
        keys = given[0] if given else misfit.paths[0]
        place: Place = file.place(keys)
        file.findings.append(
            Finding(
                file=file.file,
                line=place.line,
                column=place.column,
                key=key_text(misfit.paths[0]),
                message=misfit.message,
                severity=misfit.severity,
            )
        )


def _overlaps(keys: KeyPath, broken: set[KeyPath]) -> bool:
    return any(
        keys[: len(other)] == other or other[: len(keys)] == keys
        for other in broken
    )
