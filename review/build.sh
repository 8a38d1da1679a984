#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. They need no package.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked --manifest-path review/harness/Cargo.toml \
    --target-dir target/review
