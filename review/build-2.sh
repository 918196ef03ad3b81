#!/bin/sh
# Builds every stand-in that the scripts of the second review (review/6, 7 and 9) start. Needs no network.
set -eu
cd "$(dirname "$0")/standins-2"
exec cargo build --release --offline --locked
