#!/usr/bin/env bash
# Builds the stand-ins of the script cases of the second review.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-rig ./review/rig
