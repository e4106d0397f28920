#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 of review/. It needs the modules of the build of
# the deploy file and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review3
go build -o target/review3/ ./review/standin3
