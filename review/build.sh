#!/usr/bin/env bash
# Builds the stand-ins of all scripts into target/. It needs the Go standard library
# only, and no network.
set -euo pipefail
cd "$(dirname "$0")"
go build -buildvcs=false -o ../target/review-case ./standin
