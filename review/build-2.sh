#!/usr/bin/env bash
# Builds the stand-ins of the second review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/lib-2/Cargo.toml --target-dir target/review-2
