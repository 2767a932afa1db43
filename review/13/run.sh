#!/usr/bin/env bash
# Runs the case "timer" of review/lab3. Needs the build of the deploy file and review/build-3.sh.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/tillergate ] && [ -x target/lab3 ] || { echo "build the deploy file and review/build-3.sh first"; exit 2; }
exec target/lab3 timer review/13/record.txt
