#!/bin/sh
# Lays the stand-ins that scripts of this review start under target/review-2, beside the project's
# own ones, on which they build. Run it after deploy/build.sh; it needs no network.
set -eu
cd "$(dirname "$0")/.."
built=target/review-2
rm -rf "$built"
mkdir -p "$built"
cp -R src/bellweir_rehearsal "$built/bellweir_rehearsal"
cp -R review/standins_2 "$built/standins_2"
find "$built" -name __pycache__ -type d -prune -exec rm -rf {} +
PYTHONPATH="target/deps:$built" python3 -m compileall -q "$built"
