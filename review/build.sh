#!/usr/bin/env bash
# Builds what the scripts of the cases start besides the program of the deploy file: the stand-ins and the client, which
# are one program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/run ./review/run
