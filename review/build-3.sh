#!/bin/sh
# Builds the stand-in that the scripts of the third review start, target/review/standin-3.
# It needs the Go toolchain and no network: the stand-in uses the standard library only.
set -e
cd "$(dirname "$0")/standin-3"
mkdir -p ../../target/review
go build -o ../../target/review/standin-3 .
