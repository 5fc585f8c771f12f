"""Build settings from the defaults and a few overrides, for tests and demo."""

import functools
import pathlib
from collections.abc import Mapping

import ruamel.yaml

from agatetack.settings.model import Settings

DEFAULT_FILE = pathlib.Path(__file__).parents[1] / "default_settings.yaml"


@functools.cache
def _default_text() -> str:
    return DEFAULT_FILE.read_text(encoding="utf-8")


def default_layer() -> dict:
    """Return the default settings as plain nested maps, a fresh copy."""
    return ruamel.yaml.YAML(typ="safe").load(_default_text())


def merge_layers(base: dict, over: Mapping) -> dict:
    """Lay `over` over `base` key by key; `base` is changed and returned."""
    for key, value in over.items():
        if isinstance(value, Mapping) and isinstance(base.get(key), dict):
            merge_layers(base[key], value)
        else:
            base[key] = value
    return base


def default_settings(**overrides: Mapping) -> Settings:
    """Return checked settings: the defaults with `overrides` laid over them.

    Args:
        **overrides: One nested map per section, such as `host={"id": "a"}`.

    Raises:
        pydantic.ValidationError: A value is out of bounds.
    """
    return Settings.model_validate(merge_layers(default_layer(), overrides))
