#!/bin/sh
# Builds the stand-ins of the scripts of the second review, with the standard library alone.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2 &&
    exec rustc --edition 2021 -O -o target/review-2/cases review/harness-2/main.rs
