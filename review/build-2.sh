#!/bin/sh
# Builds the stand-ins that the scripts of the second review start; needs the Rust compiler alone. The boxes are built as the deploy file
# says.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2024 --crate-name rig review/rig-2/main.rs -o target/review-2/rig
