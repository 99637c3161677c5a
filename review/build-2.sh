#!/bin/sh
# Builds the stand-ins of review/4 to review/8. They are Python of the standard library
# alone, so that there is nothing to build; a file that can't be compiled ends this with 1.
cd "$(dirname "$0")/.." || exit 1
target="$(mktemp -d)" || exit 1
trap 'rm -rf "$target"' EXIT
for file in review/common-2/*.py review/[4-8]/*.py; do
    python3 -c 'import py_compile, sys; py_compile.compile(sys.argv[1], sys.argv[2], doraise=True)' \
        "$file" "$target/compiled" || exit 1
done
