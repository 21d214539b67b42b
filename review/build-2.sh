#!/bin/sh
# Builds the stand-ins of the cases 6 to 10; needs the build of the deploy file for the router itself.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand review/standins-2/stand.rs
