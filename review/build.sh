#!/bin/sh
# Builds the stand-ins and drivers of the cases: std-only Rust, with the compiler of the project's tool chain.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[1-3]/case.rs; do
    name=$(basename "$(dirname "$case")")
    rustc --edition 2021 -O "$case" -o "target/review/case-$name"
done
