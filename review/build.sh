#!/usr/bin/env bash
# Builds every stand-in that the scripts of the review start, into review/build/. Needs only the
# compiler that the build of the deploy file needs.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for program in standin/*.cpp; do
    name=$(basename "$program" .cpp)
    g++ -std=c++17 -O2 -Wall -Wextra -pthread -o "build/$name" "$program"
done
