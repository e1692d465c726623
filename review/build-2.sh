#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. The entries are built by the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/standin-2 ./review/standin-2
