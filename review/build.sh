#!/bin/bash
# Builds the stand-ins of the scripts.
set -eu
cd "$(dirname "$0")/rig"
go build -o ../bin/rig .
