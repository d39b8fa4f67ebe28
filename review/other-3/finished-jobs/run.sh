#!/usr/bin/env bash
# Takes 270 s, so it is no case. Exits with 1 if finished jobs pile up, 0 if not, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
python3 -c 'import asyncio, tomllib; asyncio.timeout' 2>/dev/null || exit 2
# Ended from outside, the case ends what it has started and exits with 2.
timeout --preserve-status -k 5 300 python3 -B case.py
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
