#!/bin/sh
# The stand-ins are Python modules of review/standins and bench/soak, and run
# with the dependencies that the build of the deploy file has put into
# target/deps. They need no build; this checks that they can be loaded.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1 exec python3 -c '
import review.standins.case, review.standins.clients, review.standins.hosts
import review.standins.http, review.standins.servers, review.standins.store
'
