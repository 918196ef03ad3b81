#!/usr/bin/env bash
# Builds the stand-ins and scripts of the cases 11 to 15. Needs the Rust toolchain alone.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-3/Cargo.toml --target-dir target/review-3
