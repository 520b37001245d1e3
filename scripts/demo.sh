#!/bin/sh
# Starts the two example sites one after the other from the programs in bin/,
# with ENTRIES entry instances each (9 unless set), and serves their examples.
set -eu
cd "$(dirname "$0")/.."
entries=${ENTRIES:-9}
work=$(mktemp -d)
pids=""
stop() {
	for pid in $pids; do kill -9 "$pid" 2>/dev/null || true; done
	pids=""
}
trap 'stop; rm -rf "$work"' EXIT

# start NAME COMMAND... runs a program with its output in a file.
start() {
	name=$1
	shift
	"$@" >"$work/$name" 2>&1 &
	pids="$pids $!"
}

# field NAME TEXT waits for a line with the text and prints it.
line() {
	for _ in $(seq 100); do
		if grep -m1 -- "$2" "$work/$1" 2>/dev/null; then return; fi
		sleep 0.05
	done
	echo "$1 did not start" >&2
	cat "$work/$1" >&2
	exit 1
}

listen() { seq "$1" | sed 's/.*/127.0.0.1:0/' | paste -sd,; }

site() {
	folder=examples/$1
	workers=$(sed -n 's/.*"workers": {[^:]*: \([0-9]*\), [^:]*: \([0-9]*\)}.*/\1 \2/p' "$folder/site.json")
	zones=$(sed -n 's/.*"zones": \[\(.*\)\].*/\1/p' "$folder/site.json" | tr -d '" ' | tr ',' ' ')
	start store bin/pierfake store
	start engines bin/pierfake engine -listen "$(listen "${workers% *}")"
	start plains bin/pierfake plain -listen "$(listen "${workers#* }")"
	store=$(line store 127) engines=$(line engines 127) plains=$(line plains 127)
	bin/pierload publish -store "http://$store" -site "$folder" -engines "$engines" -plains "$plains"
	addrs=""
	set -- $zones
	for i in $(seq "$entries"); do
		zone=$1
		shift
		set -- "$@" "$zone"
		start "entry-$i" bin/corianderpier -name "entry-$i" -zone "$zone" -listen 127.0.0.1:0 -peer 127.0.0.1:0 \
			-admin 127.0.0.1:0 -store "http://$store" -instances "http://$store" -key 00112233445566778899aabbccddeeff
		addr=$(line "entry-$i" '"instance started"' | sed 's/.*"listen":"\([^"]*\)".*/\1/')
		addrs="$addrs${addrs:+,}$addr"
	done
	for i in $(seq "$entries"); do
		line "entry-$i" '"feed":"config"' >/dev/null
		line "entry-$i" '"feed":"targets"' >/dev/null
	done
	echo "== $folder: $entries entry instances, $workers workers"
	bin/pierload demo -site "$folder" -entries "$addrs" -plains "$plains"
	bin/pierctl -store "http://$store" status
	stop
}

site guild
site court
