#!/usr/bin/env bash
# Runs each fuzz target of the given packages for FUZZTIME, one after the other.
# Failing inputs are written to testdata/fuzz of the package.
set -euo pipefail
cd "$(dirname "$0")/.."

fuzztime=${FUZZTIME:-10s}
workers=${FUZZWORKERS:-4}
ran=0
failed=()
for package in $(go list "$@"); do
  dir=$(go list -f '{{.Dir}}' "$package")
  targets=$(grep -hos '^func Fuzz[A-Za-z0-9_]*' "$dir"/*_test.go | sed 's/^func //' || true)
  for target in $targets; do
    echo "== $package $target"
    ran=$((ran + 1))
    go test -timeout 30m -run '^$' -fuzz "^$target\$" -fuzztime "$fuzztime" \
      -fuzzminimizetime 100x -parallel "$workers" "$package" || failed+=("$package $target")
  done
done

echo "fuzz: $ran targets, ${#failed[@]} failed"
[ ${#failed[@]} -eq 0 ] && [ "$ran" -gt 0 ] || { printf 'failed: %s\n' "${failed[@]}"; exit 1; }
