#!/usr/bin/env bash
# Builds the program that plays the scripted cases, with its stand-ins. It uses the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/cases review/standins/main.rs
