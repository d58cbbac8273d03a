#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into bin/stand2. The program itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -buildvcs=false -o bin/stand2 ./review/_stand2
