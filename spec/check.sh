#!/bin/sh
# Checks the operation log's specification with the committed verifier, and
# that each broken variant is caught. Needs only a C compiler.
# To generate the verifier anew: cd spec/gen && spin -a ../oplog.pml
set -eu
cd "$(dirname "$0")"
mkdir -p build
variants=6
failed=0
build() {
	cc "-O$2" -w -DVARIANT="$1" -DSAFETY -DCOLLAPSE -DMEMLIM=6000 -o "build/pan$1" gen/pan.c
}
build 0 2 &
for variant in $(seq 1 $variants); do
	build "$variant" 0 &
done
wait
for variant in $(seq 0 $variants); do
	(cd build && "./pan$variant" -m200000 -w25 -E >"out$variant" 2>&1) || true
	states=$(sed -n 's/ *\([0-9]*\) states, stored.*/\1/p' "build/out$variant")
	errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "build/out$variant")
	case "$variant $errors" in
	"0 0")
		if grep -q 'Search not completed\|max search depth too small\|out of memory' "build/out0"; then
			echo "spec: the search was not completed"
			failed=1
		else
			echo "spec: the protocol holds in all $states states"
		fi
		;;
	"0 "*)
		echo "spec: the protocol is broken; see spec/build/out0"
		failed=1
		;;
	*" 1") echo "spec: broken variant $variant is caught after $states states" ;;
	*)
		echo "spec: broken variant $variant is not caught"
		failed=1
		;;
	esac
done
exit $failed
