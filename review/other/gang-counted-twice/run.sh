#!/usr/bin/env bash
# One case of the review; claim.txt says what it shows. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 exec python3 scenario.py
