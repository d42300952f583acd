#!/usr/bin/env bash
# Case 11: clients that send requests ahead and read no answers. Exit 1: the rule was broken; 0: it held;
# 2: the case could not run.
set -u
cd "$(dirname "$0")" || exit 2
program=../lab-3/target/debug/review-lab-3
[ -x "$program" ] && [ -x ../../target/release/carob-edge ] || exit 2
# The descriptors of the machine in the settings, for this script and what it starts.
ulimit -S -n 3075 || exit 2
exec "$program" crowd .
