#!/usr/bin/env bash
# Builds what the scripts of review/5 and review/6 start beside rookpass-node: the driver, which holds all stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -o target/review-driver-2 ./review/driver2
