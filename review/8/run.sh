#!/usr/bin/env bash
# Plays case 8: a runner leaves after the open connections of three hosts to the store have gone silent.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/mangofall-edge ] && [ -x target/review-2/SilentThenGone ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
target/review-2/SilentThenGone review/8/record.txt "$folder"
