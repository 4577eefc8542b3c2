#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/umberdeal ] && [ -x target/review/case6 ] || { echo "build first: the deploy file's command, and review/build-2.sh"; exit 2; }
exec target/review/case6 review/6/record.txt
