"""Make sections of plain values, and find all that is wrong with these."""

import dataclasses
import functools
import types
import typing
from collections.abc import Mapping

import msgspec

from agatetack.late import LateModule
from agatetack.settings.findings import KeyPath
from agatetack.settings.section import IpNumber, Section, parse_ip

wording = LateModule("agatetack.settings.wording")


@dataclasses.dataclass(frozen=True, slots=True)
class BadValue:
    """One value that can't be used.

    Attributes:
        path: Where it stands.
        message: What is wrong with it.
        value: The value, or None where it is missing.
        unknown: Whether its key is not one of the section's.
    """

    path: KeyPath
    message: str
    value: object = None
    unknown: bool = False


class BadSettings(ValueError):
    """Settings have values that can't be used."""


class Builder:
    """Makes one section, with all below it.

    Attributes:
        bad: The values that can't be used.
    """

    def __init__(self):
        """Start without a bad value."""
        self.bad: list[BadValue] = []

    def build(
        self, section: type[Section], value: object, path: KeyPath = ()
    ) -> Section | None:
        """Return a section, or None if something in it is bad.

        Args:
            section: What to make.
            value: What it is made of: a map, or what the section takes for one.
            path: Where `value` stands.
        """
        try:
            value = section.prepare(value)
        except ValueError as error:
            return self._refuse(path, str(error), value)
        if isinstance(value, section):
            return value
        if not isinstance(value, Mapping):
            return self._refuse(path, "must be a map of keys", value)
        before = len(self.bad)
        kinds = field_kinds(section)
        built = {
            name: self._build_value(kind, value[name], (*path, name))
            for name, kind in kinds.items()
            if name in value
        }
        self._check_keys(section, value, path)
        return section(**built) if len(self.bad) == before else None

    def _check_keys(
        self, section: type[Section], value: Mapping, path: KeyPath
    ) -> None:
        for field in msgspec.structs.fields(section):
            if field.required and field.name not in value:
                self._refuse((*path, field.name), "is missing")
        for name in value:
            if name not in section.__struct_fields__:
                message = "is not a known key"
                bad = BadValue((*path, name), message, value[name], True)
                self.bad.append(bad)

    def _build_value(
        self, kind: object, value: object, path: KeyPath
    ) -> object:
        """Return a value of `kind`; None if it is bad."""
        if value is None and type(None) in typing.get_args(kind):
            return None
        kind = without_none(kind)
        if is_section(kind):
            return self.build(kind, value, path)
        if kind is IpNumber:
            return self._build_ip(value, path)
        origin = typing.get_origin(kind)
        if origin is tuple and isinstance(value, list | tuple):
            item_kind = typing.get_args(kind)[0]
            return tuple(
                self._build_value(item_kind, item, (*path, index))
                for index, item in enumerate(value)
            )
        if origin is dict and isinstance(value, Mapping):
            item_kind = typing.get_args(kind)[1]
            return {
                key: self._build_value(item_kind, item, (*path, key))
                for key, item in value.items()
            }
        return self._convert(kind, value, path)

    def _build_ip(self, value: object, path: KeyPath) -> object:
        try:
            return parse_ip(value)
        except ValueError as error:
            return self._refuse(path, str(error), value)

    def _convert(self, kind: object, value: object, path: KeyPath) -> object:
        try:
            return msgspec.convert(value, kind)
        except msgspec.ValidationError:
            return self._refuse(path, wording.word_misfit(kind, value), value)

    def _refuse(
        self, path: KeyPath, message: str, value: object = None
    ) -> None:
        """Note a bad value; return what stands in its place."""
        self.bad.append(BadValue(path, message, value))


def build(section: type[Section], value: object) -> Section:
    """Return a section made of `value`.

    Raises:
        BadSettings: Something is wrong with it.
    """
    builder = Builder()
    built = builder.build(section, value)
    if built is None:
        rows = (
            f"{'.'.join(map(str, bad.path))}: {bad.message}"
            for bad in builder.bad
        )
        raise BadSettings("; ".join(rows))
    return built


@functools.cache
def field_kinds(section: type[Section]) -> Mapping[str, object]:
    """Return the annotation of each field of a section."""
    return typing.get_type_hints(section, include_extras=True)


def without_none(kind: object) -> object:
    """Return what a field may hold besides None."""
    if typing.get_origin(kind) not in (typing.Union, types.UnionType):
        return kind
    parts = [k for k in typing.get_args(kind) if k is not type(None)]
    return parts[0]


def is_section(kind: object) -> bool:
    """Return whether a field of this kind holds a section."""
    return isinstance(kind, type) and issubclass(kind, Section)
