#!/bin/sh
# Builds the stand-ins of the second review. They need nothing but the Rust compiler.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
rustc -O --edition 2024 review/stand-2/main.rs -o target/review-stand-2
