#!/usr/bin/env bash
# Checks the stand-ins and the cases' scripts; they are Python without any
# library, so there is nothing else to build.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.py [1-5]/*.py; do
	[ -e "$file" ] || continue
	python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
