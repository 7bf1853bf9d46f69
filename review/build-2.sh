#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. It runs after the build of the
# deploy file, at the root of the repository.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-lab ./review/_lab
