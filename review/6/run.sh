#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. See claim.txt.
export TROUBLE="${TROUBLE:-1}" # 0: without the disruption
cd "$(dirname "$0")/../.." || exit 2
exec target/review2 cold review/6/record.txt
