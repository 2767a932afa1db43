#!/usr/bin/env bash
# Plays the case "pages". Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
[ -x target/tillergate ] && [ -x target/lab2 ] || exit 2
exec target/lab2 pages review/9/record.txt
