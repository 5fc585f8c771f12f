"""Test which document is in force, and which route matches a request."""

import pytest

from agatetack.config.document_routes import DocumentRoutes, WholePrefixTable
from agatetack.config.route import RouteSource
from agatetack.ids import LogOffset
from agatetack.keyed.topic import KeyedRecord
from agatetack.metrics import Metrics
from agatetack.platform.configuration import ConfigurationDecoder
from agatetack.testing.store_fleet import configuration, route_fields


def make_routes():
    source = RouteSource()
    decoder = ConfigurationDecoder()
    return DocumentRoutes("config", decoder, source, Metrics()), source


def record(version, *routes, key="config", offset=0):
    content = configuration(version, *(routes or (route_fields(),)))
    return KeyedRecord(key, content, LogOffset(offset))


@pytest.mark.parametrize(
    ("records", "version"),
    [
        ([], -1),
        ([record(3)], 3),
        ([record(3), record(7)], 7),
        # An older document that is read again is ignored.
        ([record(7), record(3)], 7),
        ([record(7), record(7)], 7),
        ([record(3), KeyedRecord("config", b"junk", LogOffset(1))], 3),
        ([record(3), KeyedRecord("config", None, LogOffset(1))], 3),
        ([record(3, key="other")], -1),
    ],
)
def test_the_highest_version_is_in_force(records, version):
    documents, source = make_routes()
    documents.apply_all(records[:1])
    documents.apply_new(records[1:])
    assert documents.version == version
    assert (source.table is None) is (version < 0)


def test_routes_that_were_dropped_are_gone():
    documents, source = make_routes()
    other = route_fields(name="route-b", path_prefix="/b/")
    documents.apply_all([record(1, route_fields(), other)])
    assert source.table.match("a.example", "/b/x").id == "route-b"
    documents.apply_new([record(2)])
    assert source.table.match("a.example", "/b/x") is None
    assert list(documents.load_paths) == ["svc-a"]


ROUTES = [
    route_fields(name="one", path_prefix="/a/"),
    route_fields(name="two", path_prefix="/a/b/"),
    route_fields(name="other", path_prefix="/a/", host="b.example"),
    route_fields(name="root", path_prefix="/", host="c.example"),
]


@pytest.mark.parametrize(
    ("host", "path", "route"),
    [
        ("a.example", "/a/", "one"),
        ("a.example", "/a/x", "one"),
        ("a.example", "/a/b", "one"),
        ("a.example", "/a/b/", "two"),
        ("a.example", "/a/b/c/d?x=/a/", "two"),
        ("a.example", "/a/bb/c", "one"),
        ("a.example", "/a?x=/a/", None),
        ("a.example", "/a", None),
        ("a.example", "/", None),
        ("b.example", "/a/b/c", "other"),
        ("c.example", "/any/thing", "root"),
        ("d.example", "/a/", None),
    ],
)
def test_the_longest_prefix_that_begins_the_path_wins(host, path, route):
    document = ConfigurationDecoder().decode(configuration(1, *ROUTES))
    found = WholePrefixTable(document.routes).match(host, path)
    assert (None if found is None else found.id) == route
