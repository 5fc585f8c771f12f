"""Read the settings file again when it changes or a signal asks for it."""

import os
import signal
from collections.abc import Callable, Sequence

import trio

from agatetack.decisions import DecisionLog
from agatetack.errors import UserError
from agatetack.settings.loader import check_settings
from agatetack.settings.model import Settings
from agatetack.settings.yaml_file import is_empty_file

LOOK_SECONDS = 0.5
"""How often the file is looked at; a change may come without a signal."""

log = DecisionLog("settings")

Apply = Callable[[Settings], None]
"""Takes new settings; must not block. With a `UserError` it refuses them, and
the last settings stay in force."""


def changed_sections(before: Settings, after: Settings) -> Sequence[str]:
    """Return the names of the sections that differ."""
    return [
        name
        for name in type(before).__struct_fields__
        if getattr(before, name) != getattr(after, name)
    ]


class SettingsWatch:
    """Keeps up with one settings file.

    Attributes:
        settings: The settings in force.
        live: The sections that can change while the host runs.
        stamp: What `_look` returned of the file that was read last.
        seen: What it returned last.
    """

    def __init__(
        self,
        path: str,
        settings: Settings,
        apply: Apply,
        live: frozenset[str],
    ):
        """Call `apply` with new settings.

        Args:
            path: The file.
            settings: What it gave at the start.
            apply: Puts settings in force.
            live: Sections that `apply` can put in force.
        """
        self.path = path
        self.settings = settings
        self.apply = apply
        self.live = live
        self.stamp = self.seen = self._look()

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Follow the file until cancelled; started once signals are taken."""
        with trio.open_signal_receiver(signal.SIGHUP) as signals:
            task_status.started()
            while True:
                asked = False
                with trio.move_on_after(LOOK_SECONDS):
                    await anext(signals)
                    asked = True
                stamp, seen = self._look(), self.seen
                self.seen = stamp
                # A file that still changes may not be whole yet.
                if asked or self.stamp != stamp == seen:
                    self.stamp = stamp
                    self._reload("signal" if asked else "file")

    def _look(self) -> tuple[int, int] | None:
        """Return what shows a change of the file, or None without a file."""
        try:
            found = os.stat(self.path)
        except OSError:
            return None
        return found.st_mtime_ns, found.st_size

    def _reload(self, why: str) -> None:
        if is_empty_file(self.path):
            self._refuse(why, [f"{self.path}: is empty"])
            return
        checked = check_settings(self.path)
        if checked.settings is None:
            findings = [str(finding) for finding in checked.findings]
            self._refuse(why, findings)
            return
        try:
            self.apply(checked.settings)
        except UserError as error:
            self._refuse(why, [str(error)])
            return
        changed = changed_sections(self.settings, checked.settings)
        later = [name for name in changed if name not in self.live]
        self.settings = checked.settings
        log.note(
            "reload",
            why=why,
            outcome="in-force",
            settings=checked.digest,
            changed=changed,
            after_a_restart=later,
        )

    def _refuse(self, why: str, findings: Sequence[str]) -> None:
        """Say what is wrong; the last settings stay in force."""
        log.note("reload", why=why, outcome="refused", findings=findings)
