#!/usr/bin/env bash
# Builds the stand-ins and the cases of review/11 to review/15 that are scripts, into target/review-3/.
set -u
cd "$(dirname "$0")/.." || exit 2
out=target/review-3
mkdir -p "$out" || exit 2
compile() {
    g++ -std=c++20 -O1 -Wall -Wextra "$@"
}
objects=()
for source in review/stand-ins-3/*.cpp; do
    object=$out/$(basename "$source" .cpp).o
    compile -c -o "$object" "$source" || exit 1
    objects+=("$object")
done
for case in review/1[1-5]/Case.cpp; do
    compile -o "$out/case-$(basename "$(dirname "$case")")" "$case" "${objects[@]}" -pthread || exit 1
done
