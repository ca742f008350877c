#!/usr/bin/env bash
# Compiles the stand-ins that the scripts start. They need nothing but the
# Python that the deploy file uses.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q common [0-9]
