#!/bin/bash
# Builds the stand-ins and drivers that the scripts of the third review start.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/lib-3/Cargo.toml --target-dir target/review-3
