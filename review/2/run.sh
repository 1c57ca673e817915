#!/bin/bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# With TROUBLE=0 it does the same without the disruption. About 30 seconds.
cd "$(dirname "$0")/../.." || exit 2
for program in controller querier; do
    [ -x "target/release/$program" ] || { echo "build target/release/$program first"; exit 2; }
done
[ -x target/review/case2 ] || { echo "run review/build.sh first"; exit 2; }
exec target/review/case2 review/2/record.txt
