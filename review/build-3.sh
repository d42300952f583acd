#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start, without a network, after the build of
# the deploy file and one build of the workspace.
set -eu
cd "$(dirname "$0")/lab-3"
cargo build --offline --locked
