#!/usr/bin/env bash
# Builds the stand-ins of the review's cases into review/bin. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOFLAGS=-buildvcs=false GOWORK=off go build -o ../bin/ .
