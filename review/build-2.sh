#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 4 and later into
# target/review-2/. Needs the compiler and the JSON library of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags="-std=c++20 -O1 -pthread"
# shellcheck disable=SC2086
g++ $flags -c review/world-2/world.cc -o target/review-2/world.o
for source in review/[4-8]/case.cc; do
  name=$(basename "$(dirname "$source")")
  # shellcheck disable=SC2086
  g++ $flags "$source" target/review-2/world.o -o "target/review-2/case-$name"
done
