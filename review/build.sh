#!/usr/bin/env bash
# Builds the stand-ins of the cases. They need nothing but the compiler.
set -euo pipefail
cd "$(dirname "$0")/stand"
cargo build --locked --release --offline
