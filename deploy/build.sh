#!/bin/sh
# Installs the service and its locked libraries under target/deps; nothing is done when it is newer
# than its sources.
set -eu
deps=target/deps
stamp=target/built
if [ -f "$stamp" ] && [ -z "$(find src/bellweir platform deploy pyproject.toml requirements-service.lock -newer "$stamp" -type f -not -name '*.pyc' | head -n 1)" ]; then
    exit 0
fi
rm -rf "$deps"
mkdir -p "$deps"
python3 -m pip install --quiet --no-input --disable-pip-version-check --require-hashes --target "$deps" -r requirements-service.lock
cp -R src/bellweir "$deps/bellweir"
mkdir -p "$deps/bellweir_platform"
cp platform/*.py "$deps/bellweir_platform/"
find "$deps" -name __pycache__ -type d -prune -exec rm -rf {} +
python3 -m compileall -q "$deps/bellweir" "$deps/bellweir_platform" "$deps"
touch "$stamp"
