#!/bin/sh
# Builds the programs of cases 6 to 9 into review/two/bin/. They hold their stand-ins
# themselves, use the standard library only, and need no network.
set -e
cd "$(dirname "$0")/two"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o bin/ ./cmd/...
