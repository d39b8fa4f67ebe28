#!/usr/bin/env bash
# Takes 270 s, so it is no case. Exits with 1 if finished jobs pile up, 0 if not, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
exec timeout -k 5 400 python3 -B case.py
