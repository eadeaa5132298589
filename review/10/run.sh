#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case can't run.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
timeout -k 3 117 python3 case.py
status=$?
if [ "$status" = 1 ] && ! grep -q 'rule broken' record.txt; then
    status=2
fi
[ "$status" -le 2 ] || status=2
exit "$status"
