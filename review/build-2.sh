#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
exec rustc --edition 2024 -O review/standins-2/main.rs -o target/review-2/standin
