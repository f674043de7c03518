#!/bin/sh
# Builds the stand-ins that the scripts of the review start: the review's own and the project's.
# Run after the build line of deploy/system.toml; everything lands below target/review.
set -eu
cd "$(dirname "$0")/.."
built=target/review
rm -rf "$built"
mkdir -p "$built"
cp -R src/bellweir_rehearsal "$built/bellweir_rehearsal"
cp -R review/stand_ins "$built/stand_ins"
find "$built" -name __pycache__ -type d -prune -exec rm -rf {} +
python3 -m compileall -q "$built"
