#!/usr/bin/env bash
# Builds the stand-ins and scenarios that the scripts start. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --offline --locked --manifest-path review/lab/Cargo.toml
