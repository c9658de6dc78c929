#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start, into target/review-3. The daemon comes from the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
objects=()
running=()
for source in review/standins-3/*.cpp; do
    object=$out/$(basename "$source" .cpp).o
    # shellcheck disable=SC2046
    g++ -std=c++20 -O1 -Wall -Wextra $(pkg-config --cflags cpp-httplib) -c "$source" -o "$object" &
    running+=($!)
    objects+=("$object")
done
for process in "${running[@]}"; do
    wait "$process"
done
# shellcheck disable=SC2046
g++ "${objects[@]}" -o "$out/standin-3" $(pkg-config --libs cpp-httplib) -lpthread
