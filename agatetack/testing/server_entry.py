"""Write what a target registers of itself in the platform's store."""

import orjson


def server_entry(
    born: int = 1000, sequence: int = 1, state: str = "ready"
) -> bytes:
    """Return the entry of a target.

    Args:
        born: When its process started, in Unix ms; 0 as if it did not say.
        sequence: Number of its report of itself.
        state: `ready` or `draining`.
    """
    info = {"service": "s", "version": "1", "zone": "z", "slots": 2}
    status = {"state": state, "sequence": sequence, "warmup_left": "0ms"}
    entry = {"address": "10.0.0.1:80", "info": info, "status": status}
    return orjson.dumps(entry | {"born": born})
