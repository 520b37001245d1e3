#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/corianderpier ] && [ -x ../../target/review-3/standin3 ] || exit 2
PIER_ROOT=../.. exec ../../target/review-3/standin3 anonymous .
