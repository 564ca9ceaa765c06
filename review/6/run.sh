#!/usr/bin/env bash
# Plays case 6: streams through three hosts while two of six runners spoil some of their answers.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/mangofall-edge ] && [ -x target/review-2/SpoiledStreams ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
target/review-2/SpoiledStreams review/6/record.txt "$folder"
