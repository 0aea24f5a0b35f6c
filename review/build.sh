#!/usr/bin/env bash
# Builds what the scripts of the cases start besides the programs of the deploy file: the harness,
# with the project's stand-ins. Needs no network after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/harness/Cargo.toml --target-dir target/review
