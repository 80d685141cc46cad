#!/usr/bin/env bash
# Builds every stand-in that the scripts of the third review start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review3 ./review/_standin3
