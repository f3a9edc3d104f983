# Loads that can't be used: every fault with its place; and a run repeats.
sim=$BUILD/cyclamenvale-sim
tmp=$(mktemp -d) || exit 1
trap 'rm -rf "$tmp"' EXIT
cat >"$tmp/bad.json" <<'EOF'
{ "seconds": "ten",
  "services": [{ "name": "a", "servers": 0, "slots": 1 }],
  "kinds": [{ "name": "k", "service": "b", "work_ms": 1, "deadline_ms": 1,
    "calls": [{ "kind": "none" }] }],
  "troubles": [{ "kind": "rain" }] }
EOF
(cd "$tmp" && "$sim" bad.json)
echo "status $?"
printf '{ "services": [' >"$tmp/cut.json"
(cd "$tmp" && "$sim" cut.json)
echo "status $?"
"$sim" --seeds many examples/model/qarta.json
echo "status $?"
"$sim" --figure /nothing/0 --values 1 examples/model/qarta.json
echo "status $?"
"$sim" --seed 5 --csv "$tmp/a.csv" examples/model/qarta.json >"$tmp/a"
"$sim" --seed 5 --csv "$tmp/b.csv" examples/model/qarta.json >"$tmp/b"
cmp "$tmp/a" "$tmp/b" && cmp "$tmp/a.csv" "$tmp/b.csv" && echo "the same again"
head -1 "$tmp/a.csv"
wc -l <"$tmp/a.csv"
