#!/usr/bin/env bash
# Runs the case and writes record.txt beside this file. TROUBLE=0 leaves out the
# disruption. Exit 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/.bin/refused-lookups ] && [ -x target/cassialatchgw ] || exit 2
RECORD=review/5/record.txt exec timeout -k 5 110 review/.bin/refused-lookups
