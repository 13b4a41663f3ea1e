#!/bin/sh
# Prepares the stand-ins of the cases. They are Python and need no build; this checks that they can run here. The
# gateway itself comes from the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
python3 - common/bed.py ./*/play.py <<'END'
import sys
import tomllib  # Python 3.11 or newer, as in Debian 12

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
print("the stand-ins can run")
END
