#!/usr/bin/env bash
# Case 12: a part that crashes servers, behind the sixteenth of its prompt.
# Exit 1: the rule was broken; 0: it held; 2: the case could not run.
set -u
cd "$(dirname "$0")" || exit 2
program=../lab-3/target/debug/review-lab-3
[ -x "$program" ] && [ -x ../../target/release/carob-edge ] || exit 2
exec "$program" deadly-part .
