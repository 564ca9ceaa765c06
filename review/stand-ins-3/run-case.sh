#!/usr/bin/env bash
# Runs the case of a folder: 1 if its rule was broken, 0 if it held, 2 if it could not run.
set -u
folder=$(cd "$1" && pwd) || exit 2
cd "$folder/../.." || exit 2
program=target/review-3/case-$(basename "$folder")
if [ ! -x "$program" ] || [ ! -x target/bin/mangofall-edge ]; then
    echo "build first: the line 'build' of deploy/system.toml, then review/build-3.sh" >&2
    exit 2
fi
# The case ends its processes itself. A case that takes too long is ended with all processes of its group, which are those that it started.
timeout -k 4 112 "$program" "$folder/record.txt"
result=$?
case $result in
    0 | 1) exit $result ;;
    *) exit 2 ;;
esac
