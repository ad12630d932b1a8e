#!/usr/bin/env bash
# Runs COUNT randomised trials from seed SEED on: scripts/trials.sh COUNT SEED.
# A failure prints its seed and the smallest list of steps that still fails.
set -eu
cd "$(dirname "$0")/.."
TRIALS=${1:-200} SEED=${2:-1} cargo test --release -p coordination --test promises what -- --nocapture
