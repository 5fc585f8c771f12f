"""Install the run-time dependencies under `target/`, if they changed."""

import compileall
import pathlib
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).parents[1]
TARGET = ROOT / "target" / "deps"
STAMP = ROOT / "target" / "installed.txt"


def wanted() -> list[str]:
    """Return what `pyproject.toml` requires at run time."""
    text = (ROOT / "pyproject.toml").read_text()
    return tomllib.loads(text)["project"]["dependencies"]


def main() -> None:
    """Install what is wanted, unless it is there already."""
    requirements = wanted()
    stamp = "\n".join([sys.version, *requirements])
    # Sources that are not compiled cost each start half a second more.
    compileall.compile_dir(ROOT / "agatetack", quiet=1)
    if STAMP.exists() and STAMP.read_text() == stamp:
        return
    command = [sys.executable, "-m", "pip", "install", "--quiet"]
    command += ["--disable-pip-version-check", "--upgrade"]
    command += ["--target", str(TARGET), *requirements]
    subprocess.run(command, check=True)
    STAMP.write_text(stamp)


if __name__ == "__main__":
    main()
