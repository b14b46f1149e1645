#!/bin/bash
# Builds the stand-ins that the scripts of review/4 to review/6 start.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
