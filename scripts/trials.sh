#!/usr/bin/env bash
# Runs randomised simulation trials: scripts/trials.sh [COUNT [SEED]] runs COUNT
# trials (default 200) with consecutive seeds from SEED (default 1).
# A failed trial prints its seed and the smallest list of steps that still fails.
set -eu
cd "$(dirname "$0")/.."
TRIALS=${1:-200} SEED=${2:-1} cargo test --release -p coordination --test promises what -- --nocapture
