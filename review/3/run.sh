#!/usr/bin/env bash
# Case 3. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: the same without the stops.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/skylarkthread ] && [ -x target/review/standins ] || exit 2
exec target/review/standins query target/release/skylarkthread review/3/record.txt
