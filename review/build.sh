#!/bin/sh
# Builds the stand-ins and clients of the cases, without any library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/release
rustc --edition 2024 -O -o target/release/review-rig review/rig/main.rs
