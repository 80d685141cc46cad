#!/bin/bash
# Builds the stand-ins of the scripts. The build line of deploy/system.toml is run separately.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review/standin ./review/_standin
