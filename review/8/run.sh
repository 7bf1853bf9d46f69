#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x target/oxbowsaddle -a -x target/review-lab || exit 2
exec target/review-lab late-leave review/8
