#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/. The product is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/stand-2 ./review/stand-2
