#!/usr/bin/env bash
# Builds the stand-ins that the scripts under review/ start, into review/out/, with the packages of the deploy file only.
set -u
cd "$(dirname "$0")" || exit 2
cmake -S . -B out -G Ninja -DCMAKE_BUILD_TYPE=Release > /dev/null && cmake --build out
