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
# The case ends its processes itself. They are in the process group of 'timeout', which is ended here, in case the program was ended before.
timeout -k 4 112 "$program" "$folder/record.txt" &
group=$!
wait "$group"
result=$?
kill -KILL -- "-$group" 2> /dev/null
case $result in
    0 | 1) exit $result ;;
    *) exit 2 ;;
esac
