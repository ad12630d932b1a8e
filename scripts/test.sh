#!/usr/bin/env bash
# Runs all tests of the workspace. Arguments are passed on to the test programs.
# Results are reproducible: random seeds are fixed and time is virtual.
set -eu
cd "$(dirname "$0")/.."
cargo test --workspace --quiet -- "$@"
