#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases, without a network.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
CARGO_TARGET_DIR=../../target/review-2 cargo build --release --locked --offline
