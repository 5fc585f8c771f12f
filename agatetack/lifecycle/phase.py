"""Define how far a host is between its start and its end."""

import enum


class Phase(enum.Enum):
    """How far a host is between its start and its end."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"
