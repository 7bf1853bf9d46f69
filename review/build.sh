#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. The system itself is built by the
# command of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-drive ./review/_drive
