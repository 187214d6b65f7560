#!/usr/bin/env bash
# Builds what a node needs into target/deps: the pinned libraries, fetched
# only when the lock changes, and this project's own packages, each time.
set -euo pipefail
cd "$(dirname "$0")/.."
deps=target/deps
lock=deploy/requirements.txt
stamp=target/lock.installed

if ! cmp -s "$lock" "$stamp"; then
	rm -rf "$deps"
	mkdir -p "$deps"
	python3 -m pip install --quiet --disable-pip-version-check \
		--no-deps --require-hashes --target "$deps" -r "$lock"
	cp "$lock" "$stamp"
fi

rm -rf "$deps/godwitflow"
mkdir -p "$deps/godwitflow"
for part in model settings wire policy store http1 tier; do
	cp -R "packages/$part/src/godwitflow/$part" "$deps/godwitflow/$part"
done
cp -R platform/src/godwitflow/adapter "$deps/godwitflow/adapter"
python3 -m compileall -q "$deps"
