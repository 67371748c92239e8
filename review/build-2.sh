#!/bin/sh
# Builds the stand-ins of review/6 to review/10, which have no dependency. After the build of deploy/balancer.toml; needs no network.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
