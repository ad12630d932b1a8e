#!/usr/bin/env bash
# Builds the stand-ins of the scripts, from their own sources only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand review/stand/main.rs
