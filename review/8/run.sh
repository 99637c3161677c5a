#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held.
cd "$(dirname "$0")/../.." || exit 2
exec python3 "review/$(basename "$(dirname "$(readlink -f "$0")")")/case.py"
