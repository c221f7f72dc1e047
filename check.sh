#!/usr/bin/env bash
# Format check, lint with warnings denied, and every test of the workspace.
set -euo pipefail
cd "$(dirname "$0")"
export CARGO_TERM_COLOR=never
# Property tests draw the same cases in every run; set another seed to look for new ones.
export PROPTEST_RNG_SEED="${PROPTEST_RNG_SEED:-1}"
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
cargo test --workspace --locked --no-fail-fast
