#!/usr/bin/env bash
# Builds the stand-ins of the cases that are scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-stand ./review/stand
