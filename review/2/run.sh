#!/bin/sh
# TROUBLE=0 leaves the changes of the route out. Exits with 1 if the rule was broken, 0 if it held, 2 otherwise.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/2/case.py
