#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps/bellweir ] && [ -d target/review/stand_ins ] || exit 2
PYTHONPATH=target/deps:target/review exec timeout -k 5 110 python3 review/3/case.py
