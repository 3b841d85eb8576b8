#!/bin/sh
# Builds the stand-ins of the scripts of the second review. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-rig-2 ./review/second/stand
