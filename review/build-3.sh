#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases 11 to 15 start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin3"
mkdir -p ../../target
go build -o ../../target/standin3 .
