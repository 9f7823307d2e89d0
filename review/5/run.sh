#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review/case-$(basename "$here")
[ -x "$program" ] && [ -x target/savorymount-gateway ] || exit 2
folder=$(mktemp -d) || exit 2
timeout -k 1 115 "$program" "${TROUBLE:-1}" "$folder" "$here/record.txt"
status=$?
rm -rf "$folder"
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
