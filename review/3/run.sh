#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# FORM=restarts plays the second fault of the claim.
case=case.py
[ "${FORM:-}" = restarts ] && case=restarts.py
exec python3 "$(dirname "$0")/$case"
