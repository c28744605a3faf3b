#!/usr/bin/env bash
# Builds the program that plays the script cases of the third review, with the stand-ins for callers, servers and the platform. It needs the build of the
# deploy file beside it (target/bin/), and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/bin/review-rig ./review/rig
