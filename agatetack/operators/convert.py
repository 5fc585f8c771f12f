"""Turn the API's dataclasses into generated Thrift structs and back.

Fields are matched by name, so neither side needs a function for each type; a
test compares the two sides' fields and enum names.
"""

import dataclasses
import enum
import functools
import types
import typing
from typing import Any, NamedTuple

from agatetack.admission.controller import AttemptResult
from agatetack.config.route import RequestClass
from agatetack.generated.common import ttypes as common
from agatetack.generated.operators import ttypes
from agatetack.lifecycle.phase import Phase
from agatetack.operators import refusals, request_views, views
from agatetack.operators.views import Finding
from agatetack.outcomes import Outcome, RefusalReason, RetryReason
from agatetack.settings.model import OperatorRole
from agatetack.targets.state import ReportSource, TargetStatus

ENUMS: dict[type[enum.Enum], type] = {
    RequestClass: common.RequestClass,
    Outcome: common.Outcome,
    RefusalReason: ttypes.RefusalReason,
    RetryReason: ttypes.RetryReason,
    AttemptResult: ttypes.AttemptResult,
    Phase: ttypes.Phase,
    TargetStatus: ttypes.TargetStatus,
    ReportSource: ttypes.ReportSource,
    OperatorRole: ttypes.Role,
    views.ChangeState: ttypes.ChangeState,
    views.ChangeRejection: ttypes.ChangeRejection,
    views.ChangeKind: ttypes.ChangeKind,
    request_views.ClaimState: ttypes.ClaimState,
    request_views.QuarantineState: ttypes.QuarantineState,
    refusals.AccessProblem: ttypes.AccessProblem,
    refusals.TeamLimit: ttypes.TeamLimit,
    refusals.UnavailableReason: ttypes.UnavailableReason,
    refusals.Entity: ttypes.Entity,
}

THRIFT_NAMES = {"service": "service_name"}
"""Fields whose name Thrift reserves."""

PLAIN_TYPES = frozenset({str, int, float, bool})


class FieldProblems(Exception):
    """A struct lacks fields or holds values that are not known.

    Attributes:
        findings: Every problem, with its place.
    """

    def __init__(self, findings: list[Finding]):
        """Keep the findings."""
        super().__init__("; ".join(f.message for f in findings))
        self.findings = tuple(findings)


def to_thrift(value: Any, struct_class: type) -> Any:
    """Return a struct of `struct_class` with the fields of `value`."""
    fields = {
        thrift_name: _write(getattr(value, own_name), type_args)
        for thrift_name, own_name, type_args in _plan(type(value), struct_class)
    }
    return struct_class(**fields)


class _FieldPlan(NamedTuple):
    """How one field of a dataclass becomes one of a struct."""

    thrift_name: str
    own_name: str
    type_args: Any


@functools.cache
def _plan(value_class: type, struct_class: type) -> list[_FieldPlan]:
    return [
        _FieldPlan(spec[2], _own_name(spec[2], value_class), spec[3])
        for spec in struct_class.thrift_spec
        if spec is not None
    ]


def from_thrift(
    struct: Any, value_class: type, place: str = "", lenient: bool = False
) -> Any:
    """Return a `value_class` with the fields of a struct.

    Args:
        struct: A generated struct.
        value_class: The dataclass to build.
        place: Where the struct stands, for the findings.
        lenient: Whether an optional field with an enum number that is not
            known here is left out, as a newer daemon may send one.

    Raises:
        FieldProblems: Fields are missing or hold unknown enum numbers.
    """
    reader = _Reader(lenient)
    value = reader.read_struct(struct, value_class, place)
    if reader.findings:
        raise FieldProblems(reader.findings)
    return value


def _own_name(thrift_name: str, value_class: type) -> str:
    for own, other in THRIFT_NAMES.items():
        if other == thrift_name and own in value_class.__dataclass_fields__:
            return own
    return thrift_name


def _write(value: Any, type_args: Any) -> Any:
    if value is None or type(value) in PLAIN_TYPES:
        return value
    if isinstance(value, enum.Enum):
        return getattr(ENUMS[type(value)], value.name)
    if isinstance(value, tuple | list):
        return [_write(item, type_args[1]) for item in value]
    return to_thrift(value, type_args[0])


@functools.cache
def _hints(value_class: type) -> dict[str, Any]:
    return typing.get_type_hints(value_class)


class _Reader:
    """Reads structs and collects what is wrong with them."""

    def __init__(self, lenient: bool):
        self.lenient = lenient
        self.findings: list[Finding] = []

    def read_struct(self, struct: Any, value_class: type, place: str) -> Any:
        """Return the value, or None if anything was wrong so far."""
        known = {spec[2] for spec in struct.thrift_spec if spec is not None}
        values = {}
        for field in dataclasses.fields(value_class):
            name = THRIFT_NAMES.get(field.name, field.name)
            if name not in known:
                continue
            at = f"{place}.{name}" if place else name
            optional = field.default is not dataclasses.MISSING
            raw = getattr(struct, name)
            if raw is None:
                if not optional:
                    self.findings.append(Finding(at, "is missing"))
                continue
            hint = _bare_type(_hints(value_class)[field.name])
            if not (self.lenient and optional and _is_strange(raw, hint)):
                values[field.name] = self._read(raw, hint, at)
        return None if self.findings else value_class(**values)

    def _read(self, raw: Any, hint: Any, place: str) -> Any:
        if typing.get_origin(hint) is tuple:
            item_hint = _bare_type(typing.get_args(hint)[0])
            return tuple(
                self._read(item, item_hint, f"{place}[{index}]")
                for index, item in enumerate(raw)
            )
        if dataclasses.is_dataclass(hint):
            return self.read_struct(raw, hint, place)
        if _is_strange(raw, hint):
            self.findings.append(Finding(place, f"{raw} is not known"))
            return None
        return hint[_enum_name(raw, hint)] if _is_enum(hint) else raw


def _is_enum(hint: Any) -> bool:
    return isinstance(hint, type) and issubclass(hint, enum.Enum)


def _enum_name(number: int, hint: type[enum.Enum]) -> str | None:
    return ENUMS[hint]._VALUES_TO_NAMES.get(number)


def _is_strange(raw: Any, hint: Any) -> bool:
    """Return whether `raw` is a number that the enum `hint` lacks."""
    return _is_enum(hint) and _enum_name(raw, hint) not in hint.__members__


def _bare_type(hint: Any) -> Any:
    """Return the type behind `X | None` and `NewType`."""
    if isinstance(hint, types.UnionType):
        hint = next(a for a in typing.get_args(hint) if a is not type(None))
    while hasattr(hint, "__supertype__"):
        hint = hint.__supertype__
    return hint
