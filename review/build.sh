#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts; run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/bin
go build -tags review -o target/bin/review-lab ./review/lab
