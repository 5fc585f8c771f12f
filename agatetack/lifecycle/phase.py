"""Define the phases of a host's lifecycle."""

import enum


class Phase(enum.Enum):
    """A phase of a host's lifecycle."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"
