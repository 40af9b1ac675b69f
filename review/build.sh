#!/bin/bash
# The stand-ins of review/ are Python 3 (of debian-packages.txt) and need no build: this checks that they can start.
cd "$(dirname "$0")" || exit 1
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; sys.path.insert(0, "common"); import standins; standins.read_role()["template"]'
