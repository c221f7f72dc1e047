#!/usr/bin/env bash
# Format check, lint with warnings denied, and every test of the workspace.
set -euo pipefail
cd "$(dirname "$0")"
export CARGO_TERM_COLOR=never
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
cargo test --workspace --locked --no-fail-fast
