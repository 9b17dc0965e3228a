#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 it
# runs without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standin ] || { echo "build the stand-ins with review/build-2.sh first"; exit 2; }
exec target/review-2/standin unknown-key review/6
