#!/usr/bin/env bash
# Runs each fuzz target for a fixed number of inputs, 20000 unless FUZZ_COUNT says otherwise.
set -eu
cd "$(dirname "$0")/.."
grep -rl --include='*_test.go' '^func Fuzz' core io | while IFS= read -r file; do
  sed -nE 's/^func (Fuzz[A-Za-z0-9]+)\(.*/\1/p' "$file" | while IFS= read -r target; do
    go test "./$(dirname "$file")" -run '^$' -fuzz "^$target\$" -fuzztime "${FUZZ_COUNT:-20000}x"
  done
done
