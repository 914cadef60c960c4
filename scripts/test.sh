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

# The race detector itself crashes in these worlds of 720 workers on arm64 ("ThreadSanitizer: CHECK
# failed: tsan_rtl.cpp", or a fault in its StackDepot), so they run without it there.
if [ "$(uname -m)" = aarch64 ] || [ "$(uname -m)" = arm64 ]; then
  wide='^TestBurstOfStartsOnNarrowLinkKeepsLease$|^TestUnlimitedBurstIsFoundToLoseLease$|^TestUrgentGangPassesBurstOfBulkStarts$|^TestRetriesForMuteWorkersStayWithinBudget$'
  go test -count=1 -run "$wide" ./hforder
  skip="${skip:--skip=}${skip:+|}$wide"
fi
# hfcrowd measures the memory and the descriptors of processes, so it runs apart from the other packages.
go test -race -count=1 -timeout 20m ${skip:+"$skip"} $(go list ./... | grep -v /hfcrowd$)
go test -race -count=1 -timeout 20m ${skip:+"$skip"} ./hfcrowd
