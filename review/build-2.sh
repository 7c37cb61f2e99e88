#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start, without a network.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
go build -o ../../target/review-2/scene .
