"""Load a settings file over the defaults, with all findings at once."""

import copy
import dataclasses
import pathlib
import typing
from collections.abc import Callable, Iterable, Iterator

import pydantic
from pydantic_core import ErrorDetails
from returns.result import Failure, Result, Success

from agatetack.settings.cross_checks import find_misfits
from agatetack.settings.defaults import default_layer, merge_layers
from agatetack.settings.findings import (
    Finding,
    KeyPath,
    Place,
    Severity,
    key_text,
)
from agatetack.settings.hints import near_key, plain_number
from agatetack.settings.misfit import Misfit
from agatetack.settings.model import Section, Settings
from agatetack.settings.wording import word_error
from agatetack.settings.yaml_file import YamlFile, parse_yaml, read_yaml

FindMisfits = Callable[[Settings], Iterator[Misfit]]
"""Yields the settings that do not fit together."""


@dataclasses.dataclass(frozen=True, slots=True)
class CheckedSettings:
    """What a settings file gave.

    Attributes:
        settings: The settings, or None if a finding is an error.
        findings: Errors and warnings, in the order of their places.
    """

    settings: Settings | None
    findings: tuple[Finding, ...]


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
    path: str | pathlib.Path, find: FindMisfits = find_misfits
) -> CheckedSettings:
    """Return the settings that a file gives and all its findings."""
    return _check_file(read_yaml(path), find)


def check_settings_text(
    text: str, name: str, find: FindMisfits = find_misfits
) -> CheckedSettings:
    """Return the settings that `text` gives, with `name` as its file."""
    return _check_file(parse_yaml(text, name), find)


def _check_file(file: YamlFile, find: FindMisfits) -> CheckedSettings:
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
        _add_misfits(find(settings), broken, file)
    findings = tuple(
        sorted(file.findings, key=lambda found: (found.line, found.column))
    )
    if any(found.severity is Severity.ERROR for found in findings):
        settings = None
    return CheckedSettings(settings, findings)


def _validate(
    layer: dict, file: YamlFile
) -> tuple[Settings | None, set[KeyPath]]:
    """Return the settings, or None and the paths that are at fault."""
    try:
        return Settings.model_validate(layer), set()
    except pydantic.ValidationError as error:
        details = error.errors(include_url=False)
    by_path: dict[KeyPath, list[ErrorDetails]] = {}
    for detail in details:
        keys = _real_path(detail, layer)
        by_path.setdefault(keys, []).append(detail)
    for keys, same_path in by_path.items():
        if not _is_unread(keys, file):
            _add_error(keys, same_path, file)
    return None, set(by_path)


def _add_error(
    keys: KeyPath, details: list[ErrorDetails], file: YamlFile
) -> None:
    # A union yields one error for each of its kinds.
    message = " or ".join(dict.fromkeys(map(word_error, details)))
    if details[0]["type"] == "extra_forbidden":
        siblings = _known_keys(keys[:-1])
        hint = near_key(keys, siblings, default_layer())
        file.add(keys, file.key_place(keys), message, hint)
        return
    name = str(keys[-1]) if keys else ""
    hint = plain_number(name, details[0]["input"])
    file.add(keys, file.place(keys), message, hint)


def _real_path(detail: ErrorDetails, layer: dict) -> KeyPath:
    """Return the path of an error, as far as it leads through `layer`.

    For a union pydantic appends the name of a kind to the path.
    """
    path = detail["loc"]
    value: object = layer
    for depth, step in enumerate(path):
        try:
            value = value[step]
        except (KeyError, IndexError, TypeError):
            is_missing = detail["type"] == "missing"
            return path[: depth + 1] if is_missing else path[:depth]
    return path


def _is_unread(keys: KeyPath, file: YamlFile) -> bool:
    return any(keys[:depth] in file.unread for depth in range(len(keys) + 1))


def _known_keys(keys: KeyPath) -> tuple[str, ...]:
    """Return the keys that the model knows in the section at `keys`."""
    section = Settings
    for step in keys:
        if isinstance(step, int):
            continue
        section = _section_in(section.model_fields[step].annotation)
    return tuple(section.model_fields)


def _section_in(annotation: object) -> type[Section]:
    """Return the section that a field's annotation speaks of."""
    if isinstance(annotation, type) and issubclass(annotation, Section):
        return annotation
    for part in typing.get_args(annotation):
        if part not in (type(None), Ellipsis):
            return _section_in(part)
    raise TypeError(f"{annotation} holds no section")


def _settings_without(
    layer: dict, broken: Iterable[KeyPath]
) -> Settings | None:
    """Return the settings with the defaults in place of what is at fault."""
    repaired = copy.deepcopy(layer)
    for keys in broken:
        _reset(repaired, default_layer(), keys)
    try:
        return Settings.model_validate(repaired)
    except pydantic.ValidationError:
        return None


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
