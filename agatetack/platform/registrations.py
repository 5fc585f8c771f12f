"""Read what servers write of themselves to the platform's store."""

import orjson
import trio

from agatetack.hosts.host_list import HostRole, HostState
from agatetack.hosts.listed_target import (
    BadRegistration,
    ListedTarget,
    RegistrationDecoder,
)
from agatetack.ids import Deadline, FailureDomain, HostId, ServiceId
from agatetack.platform.figures import read_seconds

REGISTRATIONS_TOPIC = "keyed.servers"

STATES = {"ready": HostState.LIVE, "draining": HostState.LEAVING}


class ServerDecoder(RegistrationDecoder):
    """Reads the platform's entries of servers, as JSON."""

    def decode(self, key: str, content: bytes) -> ListedTarget:
        """Return the target registered under `key`.

        Raises:
            BadRegistration: `content` registers none.
        """
        try:
            fields = orjson.loads(content)
            info, status = fields["info"], fields["status"]
            ip, _, port = fields["address"].rpartition(":")
            left = read_seconds(status.get("warmup_left") or "0s")
            return ListedTarget(
                id=HostId(key),
                role=HostRole.TARGET,
                state=STATES[status["state"]],
                ip=ip,
                port=int(port),
                failure_domain=FailureDomain(info["zone"]),
                service=ServiceId(info["service"]),
                slots=int(info.get("slots") or 2),
                warm_at=Deadline(trio.current_time() + left if left else 0.0),
            )
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            message = f"{key}: {type(error).__name__}: {error}"
            raise BadRegistration(message) from error
