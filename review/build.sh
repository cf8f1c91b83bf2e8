#!/usr/bin/env bash
# Builds the programs that the scripts of the review start, apart from the gateway.
# It needs no network: the module has no dependency outside the standard library.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off GOTOOLCHAIN=local GOFLAGS= go build -buildvcs=false -o .bin/ ./cmd/...
