#!/bin/sh
# Compiles the stand-ins that the scripts of cases 4 to 8 start. They use the
# standard library only.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q -f review/tier.py
for case in review/[4-8]/case.py; do
    if [ -e "$case" ]; then
        python3 -m compileall -q -f "$case"
    fi
done
