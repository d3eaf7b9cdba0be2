#!/usr/bin/env bash
# Builds what the scripts of the cases start beside the daemon: the operators' command, and the
# stand-ins of the platform's store, engines and clients. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release -p lapismoorctl
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/standin/main.rs
