#!/bin/sh
# Builds the stand-ins that the cases start. They use only the standard library, so that
# this compiles them; the routers come from the build of the deploy file.
cd "$(dirname "$0")/.." || exit 1
if [ ! -d target/deps ]; then
    echo "expected target/deps, the build of deploy/system.toml; found none" >&2
    exit 1
fi
exec python3 -m compileall -q review
