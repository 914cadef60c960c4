#!/usr/bin/env bash
# Passes all tests with the race detector. Tests that KNOWN-RED.txt lists, one a line
# as "TestName | command and seed | what was seen | issue", are passed over and
# printed; everything else must be green.
set -euo pipefail
cd "$(dirname "$0")/.."

skip=''
if [ -s KNOWN-RED.txt ]; then
  # -skip takes a pattern for each level: Test/case is passed over as ^Test$/^case$.
  names=$(grep -v '^#' KNOWN-RED.txt | cut -d'|' -f1 | tr -d ' ' | sed '/^$/d; s|/|$/^|g; s|^|^|; s|$|$|' | paste -sd'|' -)
  if [ -n "$names" ]; then
    echo "known red, passed over:"
    grep -v '^#' KNOWN-RED.txt
    skip="-skip=$names"
  fi
fi
go test -race -count=1 -timeout 20m ${skip:+"$skip"} ./...
