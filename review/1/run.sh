#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 timeout -k 5 110 python3 case.py
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
