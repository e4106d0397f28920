#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. It needs no dependency
# beyond those of the product.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/rig-2
