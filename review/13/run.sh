#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/release/standins-3
[ -x "$program" ] && [ -x target/release/daisydrum ] || exit 2
"$program" raise review/13/record.txt
