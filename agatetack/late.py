"""Load modules of parts that most hosts don't need, when one needs them.

Loading modules takes most of the time of a start, and memory for as long as the
host runs. A module of a part that only some configurations, or only failures,
call for is declared in place of its import:

    check = LateModule("agatetack.identity.check")

and used as `check.AccountCheck(...)`. The need is noticed by something that is
loaded anyway, such as the document that has client accounts or a lost path, and
the part is built there, before the first request that needs it. Annotations
name its types as strings, imported where `typing.TYPE_CHECKING` holds.
"""

import importlib
from types import ModuleType


class LateModule:
    """A module that is loaded when one of its names is used first."""

    def __init__(self, name: str):
        """Stand for the module `name`."""
        self.name = name

    def __getattr__(self, attribute: str) -> object:
        """Return a name of the module, which is loaded first if needed."""
        return getattr(self.load(), attribute)

    def load(self) -> ModuleType:
        """Return the module, which is loaded first if needed."""
        return importlib.import_module(self.name)
