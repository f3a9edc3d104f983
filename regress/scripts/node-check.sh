# cyclamenvale-node --check: what it finds in a settings file.
node=$BUILD/cyclamenvale-node

# Fills in the deployment's template as for one machine.
fill() {
	sed -e 's|{{node_id}}|n1|' -e 's|{{zone}}|z|' -e 's|{{service}}|s|' \
	    -e 's|{{listen.outbound}}|127.0.0.1:1|' \
	    -e 's|{{listen.inbound}}|127.0.0.1:2|' \
	    -e 's|{{app_addr}}|127.0.0.1:3|' \
	    -e 's|{{listen.control}}|127.0.0.1:4|' \
	    -e 's|{{listen.ready}}|127.0.0.1:5|' \
	    -e 's|{{platform.address}}|127.0.0.1:6|' \
	    -e 's|{{port_range.0}}|7|' -e 's|{{bounds.revoke}}|5000ms|' \
	    -e 's|{{bounds.config_apply}}|2000ms|' \
	    -e 's|{{bounds.grace}}|6s|' -e 's|{{bounds.quota_overage}}|0.1|' \
	    -e 's|{{bounds.quota_slack}}|20|' \
	    -e 's|{{bounds.retry_budget_ratio}}|0.2|' \
	    -e 's|{{bounds.budget_slack}}|49|' -e 's|{{limits.memory_mb}}|260|' \
	    -e 's|{{limits.max_fds}}|4100|' deploy/node.conf
}

tmp=$(mktemp -d) || exit 1
trap 'rm -rf "$tmp"' EXIT
fill >"$tmp/whole.conf"
fill | sed '/^end/d' >"$tmp/half.conf"
fill | sed 's/^grace = 6s/grace = 6/; s/^revoke/revocation/' >"$tmp/wrong.conf"
run=$(cd "$(dirname "$node")" && pwd)/cyclamenvale-node
cd "$tmp" || exit 1
for f in whole half wrong none; do
	echo "# --check $f.conf"
	env -i "$run" --check $f.conf 2>&1
	echo "exit $?"
done
