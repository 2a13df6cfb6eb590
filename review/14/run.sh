#!/usr/bin/env bash
# Plays the case with target/jayshift and review/bin/stand3. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) && cd "$here/../.." || exit 2
[ -x target/jayshift ] && [ -x review/bin/stand3 ] || { echo "build target/ and review/build-3.sh first" >&2; exit 2; }
exec review/bin/stand3 poison target/jayshift "$here/record.txt"
