#!/bin/sh
# Builds what the scripts of the review start beside the programs of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review/driver ./review/driver
