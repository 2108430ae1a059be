#!/bin/sh
# Builds the stand-ins and drivers of the cases. Needs rustc alone; run from anywhere.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for case in [0-9]*/case.rs; do
    number=${case%/case.rs}
    rustc --edition 2021 -O -o "bin/case-$number" "$case"
done
