#!/bin/sh
# Builds the stand-ins of the cases from 11 on: one program of the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stage review/stage/main.rs
