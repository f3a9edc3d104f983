# Pages against the code: the folders and files that they name exist, every
# reason of a refusal is listed with its status, and every event of the log is
# listed.
for page in README.md docs/OPERATIONS.md; do
	grep -o '`[a-zA-Z.]*/[a-zA-Z0-9_./-]*`' $page | tr -d '`' | sort -u |
	    while read -r path; do
		case $path in
		build/ | /*) ;;
		*) [ -e "$path" ] || echo "$page: no $path" ;;
		esac
	done
done
sed -n '/reason_rows\[/,/^};/p' src/exchange/reason.c | tail -n +2 |
    tr '\n\t' '  ' | grep -o '\[REASON_[^}]*}' |
    sed 's/^[^{]*{ "\([a-z-]*\)".*", *\([0-9]*\),.*/\2 \1/' |
    while read -r status reason; do
	[ "$reason" = none ] && continue
	grep -qF "| $status | \`$reason\` |" docs/OPERATIONS.md ||
	    echo "docs/OPERATIONS.md: no $status $reason"
done

cat $(ls src/*/*.c | grep -v /test_) | tr '\n\t' '  ' |
    grep -o 'logline( *LOG_[A-Z]*, *"[a-z-]*"' | sed 's/.*"\(.*\)"/\1/' |
    sort -u | while read -r event; do
	grep -qF "\`$event\`" docs/OPERATIONS.md ||
	    echo "docs/OPERATIONS.md: no event $event"
done

# The configurations shown are accepted.
sed -n '/fleet.json <<EOF/,/EOF$/p' README.md | sed '1d;$d' |
    "$BUILD/cyclamenvalectl" check -
sed -n '/^\.Bd/,/^\.Ed/p' man/cyclamenvale-config.5 | sed '1d;$d' |
    "$BUILD/cyclamenvalectl" check -
