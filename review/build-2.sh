#!/bin/sh
# Builds the stand-ins of the scripts in review/6 and on. They need nothing but the standard library.
set -eu
cd "$(dirname "$0")/standin2"
GOWORK=off GOFLAGS='-buildvcs=false -mod=mod' GOPROXY=off go build -o ../../target/review2 .
