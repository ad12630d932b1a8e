#!/usr/bin/env bash
exec "$(dirname "$0")/../run_case.sh" two-entries review/5
