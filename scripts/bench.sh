#!/bin/sh
# Measures the policies side by side on the same arrivals, the latency that the
# path adds, the operation log's writes, and the slopes of docs/CAPACITY.md.
set -eu
cd "$(dirname "$0")/.."
go test -count=1 -v -timeout 20m ./internal/bench -args -full "$@" | grep -v '^{\|^=== '
