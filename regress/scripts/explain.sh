# The lines of two nodes about a request, joined, and what decided its end.
ctl=$BUILD/cyclamenvalectl
for id in r1 r1.c1 r2 r3 none; do
	echo "# $id"
	"$ctl" explain $id regress/explain/a.log regress/explain/b.log
	echo "exit $?"
done
echo "# no such file"
"$ctl" explain r1 regress/explain/none.log 2>&1
echo "exit $?"
"$ctl" explain r1 2>&1
echo "exit $?"
