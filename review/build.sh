#!/usr/bin/env bash
# Builds the stand-ins of the scripts. Needs the Rust toolchain only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -C opt-level=2 --crate-name standin -o target/review/standin review/standin/main.rs
