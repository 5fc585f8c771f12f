"""Build settings from the defaults and what is laid over them."""

import copy
import functools
import pathlib
from collections.abc import Mapping

from agatetack.settings.building import build
from agatetack.settings.model import Settings
from agatetack.settings.yaml_file import read_yaml

DEFAULT_FILE = pathlib.Path(__file__).parents[1] / "default_settings.yaml"


@functools.cache
def _default_values() -> dict:
    file = read_yaml(DEFAULT_FILE)
    if file.findings:
        raise AssertionError(str(file.findings[0]))
    return file.value


def default_layer() -> dict:
    """Return the default settings as plain nested maps, a fresh copy."""
    return copy.deepcopy(_default_values())


def merge_layers(base: dict, over: Mapping) -> dict:
    """Lay `over` over `base` key by key; `base` is changed and returned.

    A null over a map changes nothing: it is a section whose keys are all
    commented out.
    """
    for key, value in over.items():
        is_section = isinstance(base.get(key), dict)
        if is_section and isinstance(value, Mapping):
            merge_layers(base[key], value)
        elif not is_section or value is not None:
            base[key] = value
    return base


def default_settings(**overrides: Mapping) -> Settings:
    """Return checked settings: the defaults with `overrides` laid over them.

    Args:
        **overrides: One nested map per section, such as `host={"id": "a"}`.

    Raises:
        BadSettings: A value is out of bounds.
    """
    return build(Settings, merge_layers(default_layer(), overrides))
