#!/bin/bash
# Plays the case; TROUBLE=0: without the disruption. See claim.txt.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
