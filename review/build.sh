#!/usr/bin/env bash
# Builds the stand-ins that the cases start. They need the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q common
