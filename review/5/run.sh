#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
program=../target/release/left_runner
[ -x "$program" ] || { echo "run review/build.sh before" >&2; exit 2; }
exec "$program" "$PWD"
