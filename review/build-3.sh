#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15 into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/rig3"
go build -o ../../target/review-3/rig .
