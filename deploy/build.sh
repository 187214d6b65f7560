#!/usr/bin/env bash
# Builds what a node needs into target/deps: the pinned libraries, fetched
# only when the lock changes, and this project's own packages, replaced as
# a whole when one of their files changes. A build that finds nothing to do
# leaves the files alone, as a node may be starting from them.
set -euo pipefail
cd "$(dirname "$0")/.."
deps=target/deps
lock=deploy/requirements.txt
installed=target/lock.installed
built=target/sources.built
parts="model settings wire policy store http1 tier"

mkdir -p target
if ! cmp -s "$lock" "$installed"; then
	rm -rf "$deps" "$built" target/libraries.compiled
	mkdir -p "$deps"
	python3 -m pip install --quiet --disable-pip-version-check \
		--no-deps --require-hashes --target "$deps" -r "$lock"
	cp "$lock" "$installed"
fi

roots="platform/src/godwitflow/adapter"
for part in $parts; do
	roots="$roots packages/$part/src/godwitflow/$part"
done
# shellcheck disable=SC2086
sums=$(find $roots -type f -not -name '*.pyc' -print0 | sort -z |
	xargs -0 sha256sum)
if [ -d "$deps/godwitflow" ] && [ "$sums" = "$(cat "$built" 2>/dev/null)" ]
then
	exit 0
fi

fresh=$(mktemp -d target/fresh.XXXXXX)
for root in $roots; do
	mkdir -p "$fresh/godwitflow"
	cp -R "$root" "$fresh/godwitflow/"
done
find "$fresh" -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q "$fresh/godwitflow" -s "$fresh" -p "$deps"
[ -f target/libraries.compiled ] || python3 -m compileall -q "$deps"
touch target/libraries.compiled
rm -rf "$deps/godwitflow"
mv "$fresh/godwitflow" "$deps/godwitflow"
rmdir "$fresh"
printf '%s\n' "$sums" >"$built"
