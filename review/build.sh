#!/usr/bin/env bash
# Builds the program that plays the cases. The product is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-stand ./review/stand
