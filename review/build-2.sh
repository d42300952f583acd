#!/bin/sh
# Builds the stand-ins and clients of the cases 6 to 10, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --offline --locked --manifest-path review/lab-2/Cargo.toml
