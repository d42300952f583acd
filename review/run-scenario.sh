#!/usr/bin/env bash
# Runs one scenario: run-scenario.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/.." || exit 2
program=review/lab/target/debug/$1
[ -x "$program" ] && [ -x target/release/carob-edge ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
# The signal at the end of the time goes to the whole group, so that no process stays behind.
timeout -k 3 110 "$program" "$2"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
