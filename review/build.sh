#!/bin/sh
# Builds the stand-ins of the cases, with the standard library only. The nodes are built by the command
# of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/harness review/harness/main.rs
