#!/usr/bin/env bash
# Runs all tests with the race detector. Tests listed in KNOWN-RED.txt, one per line as
# "TestName | command and seed | what was seen | issue", are skipped and printed. All
# other tests must pass.
set -euo pipefail
cd "$(dirname "$0")/.."

skip=''
if grep -qv '^#' KNOWN-RED.txt; then
  # -skip takes one pattern per level: Test/case becomes ^Test$/^case$.
  names=$(grep -v '^#' KNOWN-RED.txt | cut -d'|' -f1 | tr -d ' ' | sed '/^$/d; s|/|$/^|g; s|^|^|; s|$|$|' | paste -sd'|' -)
  if [ -n "$names" ]; then
    echo "known red, skipped:"
    grep -v '^#' KNOWN-RED.txt
    skip="-skip=$names"
  fi
fi
go test -race -count=1 -timeout 20m ${skip:+"$skip"} ./...
