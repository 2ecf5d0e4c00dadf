#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 11 to 15 start: Python sources, the
# project's own among them. Needs the build of deploy/system.toml, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps
python3 -m compileall -q testing/standins testing/*.py review/standins3
PYTHONPATH="target/deps:src:." python3 -c "
from review.standins3 import harness, runner
from testing.standins import keyvalues, kvhttp, link, runhttp, runners
"
