#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, after the build of the deploy
# file: it links the project's HTTP library from target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/bin
ninja -C target libcactusford.a >/dev/null
g++ -std=c++20 -Wall -Wextra -I. -DASIO_STANDALONE -DASIO_NO_DEPRECATED \
  review/standin/*.cc standins/child.cc target/libcactusford.a \
  -lhttp_parser -llog4cxx -lpthread -o target/bin/review-standin
