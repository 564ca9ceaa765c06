#!/usr/bin/env bash
# Runs this case; TROUBLE=0 leaves out its disruption.
set -u
exec "$(dirname "$0")/../stand-ins-3/run-case.sh" "$(dirname "$0")"
