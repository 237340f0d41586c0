#!/bin/sh
# Builds the stand-ins that the scripts of the second review start, with the Rust toolchain alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/standin review/standin-2/main.rs
