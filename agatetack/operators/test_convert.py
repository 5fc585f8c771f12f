"""Test that the schema and the dataclasses say the same."""

import dataclasses
import inspect

import pytest

from agatetack.generated.operators import Operators, ttypes
from agatetack.operators import (
    convert,
    refusals,
    request_views,
    requests,
    views,
)
from agatetack.operators.calls import CALLS, CallName
from agatetack.operators.requests import ApplyRouteRequest
from agatetack.operators.views import Change, ChangeState, HostView

THRIFT_CLASSES = [
    cls
    for _, cls in inspect.getmembers(ttypes, inspect.isclass)
    if cls.__module__ == ttypes.__name__ and hasattr(cls, "thrift_spec")
]


def own_class(name):
    for module in (views, request_views, requests, refusals):
        if hasattr(module, name):
            return getattr(module, name)
    raise AssertionError(f"no dataclass is named {name}")


@pytest.mark.parametrize("struct", THRIFT_CLASSES, ids=lambda c: c.__name__)
def test_every_struct_has_a_dataclass_with_its_fields(struct):
    fields = dataclasses.fields(own_class(struct.__name__))
    own = {convert.THRIFT_NAMES.get(f.name, f.name) for f in fields}
    assert own == {spec[2] for spec in struct.thrift_spec if spec}


@pytest.mark.parametrize("own", convert.ENUMS, ids=lambda e: e.__name__)
def test_every_enum_has_the_schemas_names(own):
    names = convert.ENUMS[own]._NAMES_TO_VALUES
    assert set(own.__members__) == set(names)


def test_every_enum_of_the_schema_is_known():
    schema = {
        cls
        for _, cls in inspect.getmembers(ttypes, inspect.isclass)
        if cls.__module__ == ttypes.__name__
        and hasattr(cls, "_VALUES_TO_NAMES")
    }
    assert schema <= set(convert.ENUMS.values())


def test_every_call_of_the_schema_is_listed():
    schema = {n for n in vars(Operators.Iface) if not n.startswith("_")}
    assert (
        schema
        == {name.value for name in CallName}
        == {name.value for name in CALLS}
    )


@pytest.mark.parametrize(
    ("struct", "own", "places"),
    [
        (
            ttypes.ApplyRouteRequest(route=convert.common.Route(id="r1")),
            ApplyRouteRequest,
            [
                "route.team",
                "route.service_name",
                "route.request_class",
                "route.path_prefix",
                "change_id",
            ],
        ),
        (
            ttypes.Change(change_id="c", state=99),
            Change,
            ["state"],
        ),
    ],
)
def test_all_problems_are_found_with_their_place(struct, own, places):
    with pytest.raises(convert.FieldProblems) as caught:
        convert.from_thrift(struct, own)
    assert [found.place for found in caught.value.findings] == places


def test_a_client_passes_over_numbers_of_a_newer_daemon():
    struct = ttypes.Change("c", ttypes.ChangeState.REJECTED, reason=99)
    change = convert.from_thrift(struct, Change, lenient=True)
    assert change == Change("c", ChangeState.REJECTED)


def test_lists_and_enums_survive_the_way_there_and_back():
    hosts = views.HostList(
        (HostView("a", "d", views.Phase.READY, True, config_offset=0),)
    )
    struct = convert.to_thrift(hosts, ttypes.HostList)
    assert convert.from_thrift(struct, views.HostList) == hosts
