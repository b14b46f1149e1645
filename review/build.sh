#!/bin/sh
# Builds the stand-ins of the scripts. They need the standard library alone, so no network and no registry.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
