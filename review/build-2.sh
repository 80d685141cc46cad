#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, beside the program of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin2 ./review/_standin2
