#!/usr/bin/env bash
# Builds the stand-ins of the cases, without a network: run it after `build` of deploy/balancer.toml, which has fetched
# the packages that the repository's own stand-ins need. Results are in target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
# Cases 1 and 2: one program, with the standard library only.
rustc --edition 2024 -O -o target/review/standins review/standins/main.rs
# Case 3: the discovery service, platform and proxies of crates/test-support.
cargo build --release --offline --locked --manifest-path review/control/Cargo.toml --target-dir target/review/cargo
install -m 755 target/review/cargo/release/review-control target/review/control-standins
