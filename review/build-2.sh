#!/usr/bin/env bash
# Checks the stand-ins and the scripts of cases 6 to 10. They are Python
# without any library and start no program of the project but the nodes, so
# there is nothing else to build.
set -euo pipefail
cd "$(dirname "$0")"
for file in 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
	python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
