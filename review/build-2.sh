#!/bin/sh
# Prepares the scripts of the second review. Their stand-ins are Python and need nothing beyond the standard library,
# so there is nothing to compile; the gateway comes from the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))' || { echo "python3 of version 3.9 or newer is needed" >&2; exit 1; }
for file in common-2/bed.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
