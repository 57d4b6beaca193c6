#!/usr/bin/env bash
# Runs the measurements of docs/MEASUREMENTS.md one after another and writes the results to out/.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --locked --release --workspace
load=target/release/wisteria-load
for plan in gray slow crest-association crest-uneven crest-mistvale long short-alone long-registry; do
  "$load" experiment "experiments/$plan.yaml" --compare naive,ours
done
for plan in members domain; do
  "$load" experiment "experiments/$plan.yaml" --compare ours
done
"$load" --entries 40 added examples/association --rate 400
"$load" --entries 40 edits examples/association
"$load" --entries 8 mixed examples/association
"$load" --entries 8 soak examples/association
"$load" --out out/slopes slopes examples/association
