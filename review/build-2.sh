#!/bin/bash
# Checks that the stand-ins of the cases 4 to 7 compile. They use Python's standard library
# alone; the nodes that they start come from the build of the deploy file.
cd "$(dirname "$0")" || exit 1
for file in rig-2/rig.py [4-7]/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
[ -d ../target/deps ] || { echo "build of the deploy file is missing"; exit 1; }
