#!/usr/bin/env bash
# Format check, lint with warnings denied, and every test of the workspace.
set -euo pipefail
cd "$(dirname "$0")"
export CARGO_TERM_COLOR=never
# Property tests draw the same cases in every run; set another seed to look for new ones.
export PROPTEST_RNG_SEED="${PROPTEST_RNG_SEED:-1}"
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
# Tests listed as known to fail are printed and passed over.
skips=()
while IFS= read -r line; do
  echo "known red: $line"
  skips+=(--skip "${line%% |*}")
done < <(grep -v '^#' KNOWN-RED.txt || true)
cargo test --workspace --locked --no-fail-fast -- "${skips[@]}"
