#!/bin/bash
# Builds the stand-ins that the scripts of the third review start beside the daemon of the deploy file.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
cargo build --release --locked --offline --manifest-path review/standin-3/Cargo.toml --target-dir target/review-3
