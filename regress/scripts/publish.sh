# cyclamenvalectl against the log's stand-in: races, lost answers, outages.
ctl=$BUILD/cyclamenvalectl
tmp=$(mktemp -d) || exit 1
log=
trap 'kill $log; rm -rf "$tmp"' EXIT

# Starts the log on a free port.
for port in 17801 17813 17827 17839 17851; do
	"$BUILD/standin/logsvc" --port $port 2>/dev/null &
	log=$!
	CYCLAMENVALE_LOG_URL=http://127.0.0.1:$port
	export CYCLAMENVALE_LOG_URL
	for _ in 1 2 3 4 5 6 7 8 9 10; do
		"$ctl" show --timeout 1 >/dev/null 2>&1 && break 2
		kill -0 $log 2>/dev/null || break
		sleep 0.1
	done
done

# Changes the stand-in's faults.
control() {
	curl -s -d "$1" "$CYCLAMENVALE_LOG_URL/control" >/dev/null
}

# Runs the tool and prints how it ended, with what changes from run to run
# left out.
run() {
	echo "# $*"
	"$ctl" "$@" 2>&1 | tee "$tmp/last" |
	    sed -e 's/--id [0-9a-f]\{32\}/--id ID/' -e 's/^key: .*/key: KEY/' \
	    -e "s|$CYCLAMENVALE_LOG_URL|LOG|"
}

# Runs the tool and prints its exit status only.
status() {
	"$ctl" "$@" >/dev/null 2>&1
	echo "# $1: exit $?"
}

conf=regress/config/valid.json
id=0123456789abcdef0123456789abcdef
run show
run publish --base 0 $conf
run publish --base 0 $conf
status publish --base 0 $conf
run publish --base 1 --id $id $conf
run publish --base 1 --id $id $conf
run publish regress/config/route-twice.json
status publish regress/config/route-twice.json
status publish --id $id $conf

run grant --workspace w --key-id k2
key=$(sed -n 's/^key: //p' "$tmp/last")
curl -s "$CYCLAMENVALE_LOG_URL/streams/config?from=0" |
    grep -qF -e "$key" && echo "the key is in the log"
run grant --workspace w --key-id k2
run grant --workspace none --key-id k2
run withdraw --workspace w --key-id k2
run withdraw --workspace w --key-id k2

control '{"lose_answers":1}'
run publish --base 4 $conf
run show

control '{"outage":true}'
run publish --base 5 --timeout 0.3 $conf
status publish --base 5 --timeout 0.3 $conf
run show --timeout 0.3
control '{"outage":false}'
run publish --base 5 $conf

# Two operators at once: one wins, the other is told.
for i in 1 2; do
	"$ctl" publish --base 6 $conf >"$tmp/race$i" 2>/dev/null &
	eval "pid$i=$!"
done
wait "$pid1" "$pid2"
sort "$tmp/race1" "$tmp/race2"

# Ten grants at once, which start again when they lose: all are made.
pids=
for i in 0 1 2 3 4 5 6 7 8 9; do
	"$ctl" grant --retry --workspace w --key-id "r$i" \
	    >/dev/null 2>"$tmp/err$i" &
	pids="$pids $!"
done
for pid in $pids; do
	wait "$pid" || echo "a grant failed"
done
"$ctl" show 2>/dev/null | grep -c '"id": "r[0-9]"'

# Old records are gone and no node has appended the version in force.
control '{"truncate":"config"}'
run publish --base 7 $conf
