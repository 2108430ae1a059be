#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
rm -f review/10/record.txt
[ -x target/review-2/case-10 ] && [ -x target/release/reedferry ] || exit 2
exec target/review-2/case-10 review/10
