#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and above. The routers are those of the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/rig2"
mkdir -p ../../target
go build -o ../../target/review-rig2 .
