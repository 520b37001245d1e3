#!/bin/sh
# Builds the stand-ins of the review's scripts. They need nothing but the standard library.
set -eu
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS='-buildvcs=false -mod=mod' GOPROXY=off go build -o ../../target/review-standin .
