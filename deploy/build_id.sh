#!/bin/sh
# Prints a digest of the program's sources, for the checkout that holds this
# file: `rudderrock-gateway` logs that of the sources it was built from.
cd "$(dirname "$0")/.." || exit 1
find rudderrock -name '*.py' -print0 | LC_ALL=C sort -z | xargs -0 sha256sum |
    sha256sum | cut -c1-12
