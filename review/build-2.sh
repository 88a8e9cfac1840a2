#!/bin/sh
# Builds the stand-ins of the second review's scripts, from the repository's root. It needs no
# network: the module has no dependency.
set -e
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review
go build -o ../../target/review/standin-2 .
