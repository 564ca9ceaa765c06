#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2, with the packages of the deploy file.
set -u
cd "$(dirname "$0")/.." || exit 2
out=target/review-2
mkdir -p "$out" || exit 2
common=()
for name in Socket HttpConnection Server PlatformStore Record Runner EdgeHost Fleet Caller Configuration SilencingProxy; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -c "review/standins-2/$name.cpp" -o "$out/$name.o" || exit 1
    common+=("$out/$name.o")
done
for case in SpoiledStreams LargeRequests SilentThenGone ColdRunners SilentStoreConnections; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "review/standins-2/$case.cpp" "${common[@]}" -o "$out/$case" || exit 1
done
