#!/bin/sh
# Builds the stand-ins of the cases into bin/review, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=0 go build -buildvcs=false -o bin/review ./review/_stand
