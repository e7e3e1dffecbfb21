#!/usr/bin/env bash
# Builds the stand-ins and the runner of the cases of the second review.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/rig2
