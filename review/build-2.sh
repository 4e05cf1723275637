#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review, after the build of the
# deploy file. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
go build -o ../../target/review-2/standin-2 .
