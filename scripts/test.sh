#!/usr/bin/env bash
# Runs every test; arguments go to the test programs. The verdict is the same on
# every run: seeds are fixed and time is virtual.
set -eu
cd "$(dirname "$0")/.."
cargo test --workspace --quiet -- "$@"
