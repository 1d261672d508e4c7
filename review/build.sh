#!/bin/sh
# Builds the stand-in that the scripts start. The nodes come from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --package jujubeline-standin
