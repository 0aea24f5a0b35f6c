#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10 into target/review-2. They use the standard library alone,
# so no network is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline \
    --manifest-path review/harness-2/Cargo.toml --target-dir target/review-2
