"""Read the deploy file: how the system is built and each process started."""

import dataclasses
import os
import pathlib
import subprocess
import tomllib
from collections.abc import Mapping

from bench.soak.template import Fields, fill_template

DEPLOY_FILE = "deploy/system.toml"
DEPENDENCIES = "target/deps"
PASSED_ON = ("PATH", "HOME", "LANG")
"""Variables of the environment that a started process gets."""

CONFIG_VARIABLE = "AGATETACK_CONFIG"
BUILD_TIMEOUT_SECONDS = 900


@dataclasses.dataclass(frozen=True, slots=True)
class Role:
    """One program of the deploy file.

    Attributes:
        root: The checkout in which it runs.
        run: Its command line, with placeholders.
        template: The template of its settings.
        variables: Its own environment variables, with placeholders.
    """

    root: pathlib.Path
    run: str
    template: str
    variables: Mapping[str, str]

    def command(self, fields: Fields) -> list[str]:
        """Return the command line of the process on one machine."""
        first, *rest = self.run.split(" ")
        return [first, *(fill_template(word, fields) for word in rest)]

    def settings(self, fields: Fields) -> str:
        """Return the settings file of the process on one machine."""
        return fill_template(self.template, fields)

    def environment(
        self, fields: Fields, config: pathlib.Path
    ) -> dict[str, str]:
        """Return the environment of the process on one machine.

        Args:
            fields: What the platform knows of the machine.
            config: The settings file.
        """
        own = {
            name: fill_template(text, fields)
            for name, text in self.variables.items()
        }
        passed = {
            name: os.environ[name] for name in PASSED_ON if name in os.environ
        }
        return {
            **passed,
            **own,
            CONFIG_VARIABLE: str(config),
            "PYTHONPATH": str(self.root / DEPENDENCIES),
        }


def read_role(root: pathlib.Path) -> Role:
    """Return the only role of the deploy file in `root`."""
    deployed = tomllib.loads((root / DEPLOY_FILE).read_text())
    (role,) = deployed["roles"].values()
    return Role(
        root,
        role["run"],
        (root / role["template"]).read_text(),
        role.get("env", {}),
    )


def build(root: pathlib.Path) -> None:
    """Build the checkout in `root` as its deploy file says.

    Raises:
        subprocess.SubprocessError: The build failed or took too long.
    """
    deployed = tomllib.loads((root / DEPLOY_FILE).read_text())
    subprocess.run(
        deployed["build"],
        shell=True,
        cwd=root,
        check=True,
        timeout=BUILD_TIMEOUT_SECONDS,
    )
