#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. They are Python
# and use only the libraries of the deploy file's build, so there is nothing to compile:
# this checks that each of them can be imported.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:src:review/standins2 PYTHONDONTWRITEBYTECODE=1
python3 -c 'import runner, world'
