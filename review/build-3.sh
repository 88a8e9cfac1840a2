#!/bin/sh
# Builds the stand-ins of the scripts of review/REPORT-3.md. The deploy file builds the program.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-3/ ./review/standin-3
