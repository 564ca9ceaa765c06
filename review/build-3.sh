#!/usr/bin/env bash
# Builds the stand-ins and the cases of review/11 to review/15 that are scripts, into target/review-3/.
set -u
cd "$(dirname "$0")/.." || exit 2
out=target/review-3
mkdir -p "$out" || exit 2
for case in review/1[1-5]/Case.cpp; do
    [ -e "$case" ] || continue
    number=$(basename "$(dirname "$case")")
    g++ -std=c++20 -O1 -Wall -Wextra -o "$out/case-$number" "$case" review/stand-ins-3/*.cpp -pthread || exit 1
done
