#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. They use the standard library only,
# and none of the project's own; their scripts start the gateway of the deploy
# file, whose build is that of the deploy file.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q standins2
