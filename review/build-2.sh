#!/bin/sh
# Builds the stand-ins of the scripts of the second review: the store, the workers and the clients are one program. The
# gateways and agents come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-2 ./review/stand
