#!/bin/sh
# Builds the stand-ins of the scripts, which use the standard library alone.
cd "$(dirname "$0")/standin" && go build -o ../../target/review-standin .
