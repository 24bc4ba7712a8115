#!/bin/sh
# Runs the case; see claim.txt. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0: the same without the disruptions.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case3 ] || exit 2
exec target/review/case3 review/3/record.txt
