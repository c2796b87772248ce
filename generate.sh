#!/usr/bin/env bash
# Regenerates the committed protobuf and drpc code, and the event catalogue's
# page. Needs protoc, protoc-gen-go and protoc-gen-go-drpc on the PATH.
set -euo pipefail
cd "$(dirname "$0")"
protoc --go_out=. --go_opt=paths=source_relative record/record.proto job/job.proto
protoc --go_out=. --go_opt=paths=source_relative \
  --go-drpc_out=. --go-drpc_opt=paths=source_relative,protolib=google.golang.org/protobuf \
  wire/wire.proto wire/agent.proto
go run ./cmd/eventdoc > docs/EVENTS.md
