# cyclamenvalectl: what wrong usage and absent nodes are answered with.
ctl=$BUILD/cyclamenvalectl
unset CYCLAMENVALE_LOG_URL

# Runs the tool and prints its first lines and its exit status.
run() {
	echo "# $*"
	"$ctl" "$@" >"$tmp" 2>&1
	rc=$?
	head -n 3 "$tmp"
	echo "exit $rc"
}

tmp=$(mktemp) || exit 1
trap 'rm -f "$tmp"' EXIT
run
run publish
run nonsense
run check
run check /nonexistent.json
run check regress/config/valid.json /nonexistent.json regress/config/cut.json
run publish --base x --timeout -1 --nonsense
run publish --log-url http://127.0.0.1:1 --id 12 regress/config/valid.json
run show --log-url http://127.0.0.1:1 --timeout 0.2
run grant --workspace w
run dump --node localhost:80
run dump --node 127.0.0.1:1 --timeout 0.2
run dump --node 127.0.0.1:99999 --json
run wait --version 1 --timeout 0.2 127.0.0.1:1
run wait 127.0.0.1:1
run wait --version 1 nowhere
run --version
