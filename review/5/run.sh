#!/bin/sh
# Runs this case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/corianderpier ] || [ ! -x target/review-standin ]; then
	echo "not built: run the build line of deploy/system.toml, then review/build.sh" >&2
	exit 2
fi
exec target/review-standin ticket review/5
