# Every flag that a program's help lists is in its manual page, with its
# default, and every verb as well.
daemon=$BUILD/cyclamenvaled
ctl=$BUILD/cyclamenvalectl

# Looks for each word on standard input as a macro's argument in a page.
look() {
	while read -r word; do
		grep -q "$1 $word\( \|$\)" "$2" || echo "$2: no $word"
	done
}

# Lists the long flags in a help text, one dash off, as mdoc has them.
flags() {
	sed -n 's/^  -\(-[a-z-]*\).*/\1/p'
}

"$daemon" --help | flags | look Fl man/cyclamenvaled.8
"$daemon" --help |
    sed -n 's/^  --\([a-z-]*\) .*(default: \([^-)][^)]*\)).*/\1 \2/p' |
    while read -r flag value; do
	sed -n "/^\.It Fl -$flag /,/^\.It/p" man/cyclamenvaled.8 |
	    grep -qF "The default is $value." || echo "no default of $flag"
done
verbs=$("$ctl" --help | sed -n 's/^  \([a-z][a-z]*\)  .*/\1/p')
echo "$verbs" | look Cm man/cyclamenvalectl.1
for verb in $verbs; do
	"$ctl" "$verb" --help | flags | look Fl man/cyclamenvalectl.1
done
sed -n 's/^.*\(cv_[a-z_]*\)(.*/\1/p;s/^CV_API.* \(cv_[a-z_]*\)($/\1/p' \
    include/cyclamenvale.h | look Nm man/cyclamenvale.3
echo "$verbs" | tr '\n' ' '
echo
