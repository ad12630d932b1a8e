#!/bin/bash
# Builds the stand-ins of the cases 11 to 15. They need nothing but the standard library.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/stand-3/Cargo.toml --target-dir target/review-3
