#!/usr/bin/env bash
# Builds the stand-ins and cases of review/11 to review/15, without a network. The daemon is built by
# the deploy file.
set -e
cd "$(dirname "$0")"
cargo build --release --locked --offline --manifest-path stand-3/Cargo.toml \
    --target-dir ../target/review-3
