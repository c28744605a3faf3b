#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review. Run it after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/bin
go build -tags review -ldflags=-linkmode=external -o target/bin/review-2 ./review/stand
