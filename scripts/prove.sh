#!/bin/sh
# Runs all proofs under failure in their long form, and prints a line for each
# point of the users' list with its cases, seeds and violations.
set -eu
cd "$(dirname "$0")/.."
out=$(mktemp)
trap 'rm -f "$out"' EXIT
known=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null || true)
skip='^$'
for name in $known; do
	echo "known red, not run: $name (see KNOWN-RED.txt)"
	skip="$skip|^$name\$"
done
status=0
go test -count=1 -v -timeout 20m -parallel 2 -skip "$skip" ./internal/proof ./internal/oplog >"$out" 2>&1 || status=$?

# point NAME SEEDS TESTS prints how many of the tests passed and failed.
point() {
	passed=$(grep -cE "^ *--- PASS: ($3)( |/)" "$out" || true)
	failed=$(grep -cE "^ *--- FAIL: ($3)( |/)" "$out" || true)
	printf '%-52s %3d cases  seeds %-8s %d violations\n' "$1" $((passed + failed)) "$2" "$failed"
}
point "finishes or fails in time" "13" "TestSilentEngineConnection|TestEngineCut|TestAllEnginesSilent|TestEntrySilent|TestStoreDown|TestStoreLosesAnswers|TestStalled[A-Za-z]*|TestZoneKilled|TestRandomFaultsOnPrompts"
point "no engine loses memory" "13" "TestMemoryAfterKill|TestMemoryAfterFreeze|TestMemoryAfterCallersLeave|TestNetworkPartition|TestZoneKilled|TestStalledEngineConnections|TestRandomFaultsOnPrompts"
point "own and whole answer" "13" "TestWholePath|TestWrongAnswers|TestOnlyWrongAnswers|TestRandomFaultsOnPrompts"
point "told not run, and not run" "7, 1-6" "TestRandomFaultsOnBookings|TestStoreDown|TestRandomFaults|TestStoreDownMeansNotRun|TestBadInput"
point "at most one run" "7, 1-6" "TestFrozenWriterResumed|TestKilledWriters|TestStoreLosesAnswers|TestTargetAnswersLateOrNever|TestRandomFaultsOnBookings|TestRandomFaults|TestFormerWriterDispatchesNothing|TestNetworkPartition|TestStalledStoreConnections"
point "a leaving target gets no new work" - "TestLeavingTarget|TestLeavingInList"
point "a planned stop cuts off no request" - "TestRollingReplacement"
point "an accepted configuration holds" - "TestConfigApplied|TestConfigNeverReverts|TestStartInOutage|TestRacingOperators|TestApplyWithLostAnswer|TestIsolatedInstance"
point "engines obey the present orders only" - "TestOrdersAfterTakeover"
point "membership" - "TestDetection|TestSimultaneousRestart|TestOneWayPartition|TestNetworkPartition"
grep -E '^ *--- FAIL|panic:|^ok|^FAIL' "$out" || true
sh spec/check.sh || status=1
exit $status
