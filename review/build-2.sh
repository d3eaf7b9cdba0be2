#!/usr/bin/env bash
# Builds what the scripts of the cases from 6 on start beside the daemon: the operators' command, and the
# stand-ins of the platform's store, engines and clients. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release -p lapismoorctl
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin review/standin-2/main.rs
