#!/usr/bin/env bash
# Builds the programs of the scripts in review/11 to review/15, stand-ins included, with the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for number in 11 12 13 14 15; do
  source=review/$number/case.rs
  [ -f "$source" ] || continue
  rustc --edition 2021 -O -A dead_code -o "target/review-3/case-$number" "$source"
done
