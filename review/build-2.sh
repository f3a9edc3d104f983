#!/bin/sh
# Builds the stand-ins of the second review's scripts into build/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/*/case.c; do
	n=$(basename "$(dirname "$source")")
	[ "$n" -ge 6 ] || continue
	cc -D_GNU_SOURCE -O2 -Wall -Wextra -pthread -o "build/review-2/$n" \
	    "$source" review/lab-2/lab.c
done
