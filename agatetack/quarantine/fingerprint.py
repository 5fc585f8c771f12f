"""Tell requests that are alike from those that are not."""

import xxhash

from agatetack.config.route import Route
from agatetack.messages import BytesBody, CallerRequest
from agatetack.quarantine.tracker import Fingerprint

SEPARATOR = b"\0"


def fingerprint(route: Route, request: CallerRequest) -> Fingerprint:
    """Return a hash over what makes a target run the same work.

    A body too large to be held in memory counts by its length alone.
    """
    digest = xxhash.xxh3_128(route.id.encode())
    digest.update(SEPARATOR + request.method + SEPARATOR + request.path)
    digest.update(SEPARATOR + (request.key or "").encode() + SEPARATOR)
    if isinstance(request.body, BytesBody):
        digest.update(request.body.content)
    else:
        digest.update(b"%d" % (request.body.length or -1))
    return Fingerprint(digest.digest())
